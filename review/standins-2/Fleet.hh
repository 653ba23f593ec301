// Starts gateway processes with the command of the deploy file, on loopback addresses of their own.
#pragma once

#include <sys/types.h>

#include "Net.hh"

namespace review {

/// Values of the settings template that differ between cases; the others are those of the small
/// deployment `crsa-yard`.
struct FleetSettings
{
    std::size_t nodes = 3;
    std::string platform;
    double processorShare = 0.25;
    std::int64_t memoryMb = 260;
    std::int64_t retrySlack = 54;
    std::int64_t quotaTolerance = 110000;
};

class Fleet
{
public:
    /// `folder` gets the settings and the logs of the processes.
    Fleet(FleetSettings settings, std::string folder);
    /// Ends all processes.
    ~Fleet();

    std::size_t size() const { return nodes_.size(); }
    void start(std::size_t node);
    void signal(std::size_t node, int number);
    /// Kills the process and waits until it has ended.
    void kill(std::size_t node);
    /// Whether the process runs; collects the status of one that has ended.
    bool isRunning(std::size_t node);
    /// How the process ended, in words; empty while it runs.
    std::string endOf(std::size_t node);

    const std::string &ip(std::size_t node) const { return nodes_[node].ip; }
    std::string name(std::size_t node) const { return nodes_[node].name; }
    std::string logPath(std::size_t node) const;
    int callerPort() const { return basePort_; }
    int readyPort() const { return basePort_ + 1; }
    int directoryPort() const { return basePort_ + 2; }
    int metricsPort() const { return basePort_ + 4; }
    bool isReady(std::size_t node) const;
    /// Waits until all nodes answer that they are ready.
    bool waitUntilReady(std::int64_t timeoutMs);
    /// The node with this name; the size of the fleet if there is none.
    std::size_t indexOf(const std::string &name) const;

private:
    struct Node
    {
        std::string name;
        std::string ip;
        pid_t process = -1;
        std::string end;
    };

    void choosePorts();
    std::string settingsOf(std::size_t node) const;

    FleetSettings settings_;
    std::string folder_;
    std::vector<Node> nodes_;
    int basePort_ = 0;
};

} // namespace review
