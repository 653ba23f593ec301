#pragma once

#include <memory>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"

namespace boragerack::config {
struct NodeSettings;
}

namespace boragerack::runtime {
class FiberRuntime;
}

namespace boragerack::node {

/// Listen addresses of a node, as "host:port".
struct NodeAddresses
{
    std::string caller;
    std::string peer;

    friend auto operator<=>(const NodeAddresses &, const NodeAddresses &) = default;
};

/// Owns all tasks of one node and connects them.
class Node
{
public:
    Node(runtime::FiberRuntime &fiberRuntime, const config::NodeSettings &settings);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node();

    core::Result<NodeAddresses> start();

    /// Requests a graceful shutdown; returns at once. `requestedAt` is a time of
    /// core::MonotonicClock, at which the stop signal was received.
    void requestStop(core::TimePoint requestedAt);
    /// Blocks until a requested shutdown has completed.
    void waitUntilStopped();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragerack::node
