#pragma once

#include <memory>

#include "boragerack/core/Result.h"

namespace boragerack::config {
struct NodeSettings;
}

namespace boragerack::runtime {
class FiberRuntime;
}

namespace boragerack::node {

/// Addresses that a node listens on.
struct NodeAddresses
{
    std::string caller;
    std::string peer;

    friend auto operator<=>(const NodeAddresses &, const NodeAddresses &) = default;
};

/// One node: all of its tasks.
class Node
{
public:
    Node(runtime::FiberRuntime &fiberRuntime, const config::NodeSettings &settings);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node();

    core::Result<NodeAddresses> start();

    /// Begins a graceful stop.
    void requestStop();
    /// Waits until a requested stop has ended.
    void waitUntilStopped();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace boragerack::node
