#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace boragerack::gateway::testing {

namespace {

/// A gateway process that is killed at the end of the test.
class GatewayProcess
{
public:
    explicit GatewayProcess(const std::string &settings)
    {
        int pipeEnds[2] = {};
        if (!mkdtemp(directory_.data()) || pipe2(pipeEnds, O_CLOEXEC) != 0)
            throw std::runtime_error("cannot create a directory or a pipe");
        std::string path = directory_ + "/settings.json";
        std::ofstream(path) << settings;
        std::string program = std::string(BORAGERACK_BINARY_DIR) + "/boragerackd";
        std::string mode = "--gateway";
        std::string option = "--settings";
        char *arguments[] = {program.data(), mode.data(), option.data(), path.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        // Errors go to standard error.
        posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
        posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDERR_FILENO);
        const int error =
            posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments, environ);
        posix_spawn_file_actions_destroy(&actions);
        close(pipeEnds[1]);
        output_ = pipeEnds[0];
        if (error != 0)
            throw std::runtime_error("cannot start " + program);
    }
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;
    ~GatewayProcess()
    {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        close(output_);
        std::filesystem::remove_all(directory_);
    }

    /// The log up to the line that contains the text, or up to the end of the process.
    std::string logUntil(const std::string &text)
    {
        std::string log;
        char character = 0;
        while ((log.find(text) == std::string::npos || !log.ends_with('\n'))
               && read(output_, &character, 1) == 1)
            log += character;
        return log;
    }

private:
    std::string directory_ = (std::filesystem::temp_directory_path() / "boragerackXXXXXX").string();
    pid_t pid_ = -1;
    int output_ = -1;
};

std::string settingsWith(const std::string &extra)
{
    std::string text = R"({"instance":"n-1","dataCentre":"d","platform":"127.0.0.1:1")";
    for (const char *name :
         {"callerListen", "readyListen", "directoryListen", "peerListen", "metricsListen"})
        text += std::string(",\"") + name + R"(":"127.0.0.1:0")";
    return text + R"(,"chartsDirectory":")" + BORAGERACK_CHARTS_DIR + "\"" + extra + "}";
}

constexpr const char *kReady = "[BR1001]";

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayStartTest)

// Guards against a process that does not start with a fraction among its figures.
BOOST_AUTO_TEST_CASE(startsWithFractions)
{
    GatewayProcess process(settingsWith(R"(,"stopTimeoutS":7.5,"retryWindowS":2.5)"));
    const std::string log = process.logUntil(kReady);
    BOOST_TEST(log.find(kReady) != std::string::npos, log);
    BOOST_TEST(log.find("stop_timeout_ms=7500") != std::string::npos, log);
}

// Guards against a restart that ends for good because of a setting that the process could do
// without.
BOOST_AUTO_TEST_CASE(startsWithInvalidFiguresAndReportsThem)
{
    GatewayProcess process(settingsWith(R"(,"orderHandoverMs":"3 s","quotaTolerance":-1)"));
    const std::string log = process.logUntil(kReady);
    BOOST_TEST(log.find(kReady) != std::string::npos, log);
    for (const char *name : {"orderHandoverMs", "quotaTolerance"})
        BOOST_TEST(log.find(std::string("settings.json: ") + name + ": found") != std::string::npos,
                   log);
    BOOST_TEST(log.find("[BR1008]") != std::string::npos, log);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::gateway::testing
