#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace boragerack::node::tests {

/// A program started by a test. It is killed at the end of the test if it still runs.
class ChildProcess
{
public:
    /// Starts the program and waits for the line that names its address.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ~ChildProcess();

    /// First address that the program printed.
    const std::string &address() const { return address_; }
    /// Second address of a node: the one for peers.
    const std::string &peerAddress() const { return peerAddress_; }

    pid_t pid() const { return pid_; }
    void signal(int number) const;
    /// Kills the program without giving it time to react.
    void kill();
    /// Waits for the end, at most for the given time; -1 if it has not ended.
    int waitForExit(int seconds);

private:
    void readAddresses(int descriptor);

    pid_t pid_ = -1;
    std::string address_;
    std::string peerAddress_;
};

} // namespace boragerack::node::tests
