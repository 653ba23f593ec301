#include "Fleet.hh"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *kProgram = "target/bin/boragerackd";

} // namespace

Fleet::Fleet(FleetSettings settings, std::string folder)
    : settings_(std::move(settings))
    , folder_(std::move(folder))
{
    constexpr std::size_t kPerNet = 200;
    for (std::size_t i = 0; i < settings_.nodes; ++i) {
        const std::string number = std::to_string(1000 + i).substr(1);
        nodes_.push_back(
            {"front-" + number,
             "127.77." + std::to_string(1 + i / kPerNet) + "." + std::to_string(1 + i % kPerNet),
             -1, ""});
    }
    choosePorts();
}

Fleet::~Fleet()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (isRunning(i))
            ::kill(nodes_[i].process, SIGKILL);
    }
    for (const Node &node : nodes_) {
        if (node.process > 0 && node.end.empty())
            ::waitpid(node.process, nullptr, 0);
    }
}

void Fleet::choosePorts()
{
    constexpr int kPorts = 5;
    std::random_device random;
    for (int i = 0; i < 100; ++i) {
        basePort_ = 20000 + static_cast<int>(random() % 2000) * 5;
        try {
            for (const Node &node : nodes_) {
                for (int port = 0; port < kPorts; ++port)
                    listenOn(node.ip, basePort_ + port);
            }
            return;
        } catch (const std::runtime_error &) {
        }
    }
    throw std::runtime_error("no free ports");
}

std::string Fleet::settingsOf(std::size_t node) const
{
    const auto address = [&](int offset) {
        return "\"" + nodes_[node].ip + ":" + std::to_string(basePort_ + offset) + "\"";
    };
    return "{\n  \"instance\": \"" + nodes_[node].name + "\",\n  \"dataCentre\": \"z-a\",\n"
        + "  \"callerListen\": " + address(0) + ",\n  \"readyListen\": " + address(1)
        + ",\n  \"directoryListen\": " + address(2) + ",\n  \"peerListen\": " + address(3)
        + ",\n  \"metricsListen\": " + address(4) + ",\n  \"platform\": \"" + settings_.platform
        + "\",\n  \"revocationMs\": 5000,\n  \"orderHandoverMs\": 3000,\n"
        + "  \"stopTimeoutMs\": 8000,\n  \"retryRatio\": 0.2,\n  \"retrySlack\": "
        + std::to_string(settings_.retrySlack)
        + ",\n  \"retryWindowMs\": 10000,\n  \"quotaTolerance\": "
        + std::to_string(settings_.quotaTolerance) + ",\n  \"processorShare\": "
        + std::to_string(settings_.processorShare) + ",\n  \"memoryMb\": "
        + std::to_string(settings_.memoryMb) + ",\n  \"chartsDirectory\": \"charts\"\n}\n";
}

std::string Fleet::logPath(std::size_t node) const
{
    return folder_ + "/" + nodes_[node].name + ".log";
}

void Fleet::start(std::size_t node)
{
    const std::string path = folder_ + "/" + nodes_[node].name + ".json";
    std::ofstream(path) << settingsOf(node);
    const std::string log = logPath(node);
    const std::string variable = "BORAGERACK_SETTINGS=" + path;
    const std::string searchPath = std::string("PATH=") + std::getenv("PATH");
    const pid_t parent = ::getpid();
    const pid_t process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        char program[] = "target/bin/boragerackd";
        char option[] = "--gateway";
        char *const arguments[] = {program, option, nullptr};
        char *const environment[] = {const_cast<char *>(variable.c_str()),
                                     const_cast<char *>(searchPath.c_str()), nullptr};
        ::execve(kProgram, arguments, environment);
        ::_exit(127);
    }
    nodes_[node].process = process;
    nodes_[node].end.clear();
}

void Fleet::signal(std::size_t node, int number)
{
    if (isRunning(node))
        ::kill(nodes_[node].process, number);
}

void Fleet::kill(std::size_t node)
{
    signal(node, SIGKILL);
    while (isRunning(node))
        sleepMs(1);
}

bool Fleet::isRunning(std::size_t node)
{
    Node &entry = nodes_[node];
    if (entry.process <= 0 || !entry.end.empty())
        return false;
    int status = 0;
    if (::waitpid(entry.process, &status, WNOHANG) != entry.process)
        return true;
    entry.end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                    : "exit code " + std::to_string(WEXITSTATUS(status));
    return false;
}

std::string Fleet::endOf(std::size_t node)
{
    isRunning(node);
    return nodes_[node].end;
}

bool Fleet::isReady(std::size_t node) const
{
    Connection connection(connectTo(nodes_[node].ip, readyPort(), 500));
    return connection.socket().isOpen()
        && connection.write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        && connection.readResponse(1000).status == 200;
}

bool Fleet::waitUntilReady(std::int64_t timeoutMs)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    for (std::size_t i = 0; i < nodes_.size();) {
        if (isReady(i))
            ++i;
        else if (nowMs() >= deadline)
            return false;
        else
            sleepMs(50);
    }
    return true;
}

std::size_t Fleet::indexOf(const std::string &name) const
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].name == name)
            return i;
    }
    return nodes_.size();
}

} // namespace review
