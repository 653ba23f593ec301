#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Assigns nodes to relays, so that the coordinator and each relay exchange messages with a bounded
/// number of nodes. Nodes with children always report directly, so the tree has two levels.
class ReportTree
{
public:
    /// Maximum number of nodes that report directly while a relay has room, and maximum number of
    /// children of a relay. Two levels reach the square of this number of nodes.
    static constexpr std::size_t kMaxFanOut = 24;
    /// A relay that did not answer some node gets no children for this long, because other nodes
    /// may not reach it either.
    static constexpr std::chrono::milliseconds kUnresponsivePeriod {5000};

    /// Handles a direct report. Returns the relay through which the node has to report from now on;
    /// empty if it continues to report directly.
    std::optional<FleetMember> report(const CoordinationReport &report, core::TimePoint now);
    void remove(const core::InstanceId &node);

    std::size_t directCount() const { return direct_.size(); }

private:
    struct DirectNode
    {
        FleetMember member;
        std::set<core::InstanceId> children;
        core::TimePoint unresponsiveUntil = {};
    };

    bool isDirect(const CoordinationReport &report) const;
    const DirectNode *chooseRelay(const CoordinationReport &report, core::TimePoint now) const;
    void detach(const core::InstanceId &node);

    std::map<core::InstanceId, DirectNode> direct_;
    /// Relay of each node that does not report directly.
    std::map<core::InstanceId, core::InstanceId> relays_;
};

} // namespace boragerack::decisions
