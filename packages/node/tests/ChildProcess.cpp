#include "ChildProcess.h"

#include <csignal>
#include <cstdio>
#include <regex>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace boragerack::node::tests {

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    int pipeEnds[2] = {};
    if (pipe2(pipeEnds, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
    // Log lines of the child processes would obscure the output of the test.
    if (!getenv("BORAGERACK_TEST_LOG"))
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);

    const std::string path = std::string(BORAGERACK_BINARY_DIR) + "/" + program;
    std::vector<char *> argv = {const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    const int error = posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    if (error != 0)
        throw std::runtime_error("cannot start " + path);
    readAddresses(pipeEnds[0]);
    close(pipeEnds[0]);
    if (address_.empty())
        throw std::runtime_error(program + " did not print its address");
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::readAddresses(int descriptor)
{
    std::string line;
    char character = 0;
    while (read(descriptor, &character, 1) == 1 && character != '\n')
        line += character;
    const std::regex pattern("(?:listening |ready caller=)([0-9.:]+)(?: peer=([0-9.:]+))?");
    if (std::smatch match; std::regex_search(line, match, pattern)) {
        address_ = match[1];
        peerAddress_ = match[2];
    }
}

void ChildProcess::signal(int number) const
{
    ::kill(pid_, number);
}

void ChildProcess::kill()
{
    if (pid_ < 0)
        return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

int ChildProcess::waitForExit(int seconds)
{
    constexpr int kChecksPerSecond = 20;
    for (int check = 0; check < seconds * kChecksPerSecond; ++check) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        usleep(1000000 / kChecksPerSecond);
    }
    return -1;
}

} // namespace boragerack::node::tests
