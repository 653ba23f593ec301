#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace boragerack::node::tests {

/// A program started by a test; killed by the destructor if it is still running.
class ChildProcess
{
public:
    /// Starts the program and waits for the line with its address.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ~ChildProcess();

    /// First address that the program printed.
    const std::string &address() const { return address_; }
    /// Second address that the program printed: the peer address of a node.
    const std::string &peerAddress() const { return peerAddress_; }

    pid_t pid() const { return pid_; }
    void signal(int number) const;
    /// Kills the program with SIGKILL.
    void kill();
    /// Waits for the exit code, at most for the given time; -1 if the program has not exited.
    int waitForExit(int seconds);

private:
    void readAddresses(int descriptor);

    pid_t pid_ = -1;
    std::string address_;
    std::string peerAddress_;
};

} // namespace boragerack::node::tests
