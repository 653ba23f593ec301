#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/InteractiveService.h"

namespace boragerack::decisions {

/// Limits the requests of all nodes under way on a target. Answers loads above the capacity of the
/// targets: what a target cannot begin soon waits at the nodes, where it can be ordered. The nodes
/// share the window through the fleet's sums, without a call for each request.
class DispatchWindow
{
public:
    using Counts = std::map<core::TargetId, std::uint32_t>;

    /// This node's requests in flight as of the report that is made now.
    void remember(Counts own);
    /// Requests in flight of all nodes. They include this node's requests as of the last remembered
    /// report if `includesLastReport`, else as of the one before that was included.
    void adoptSums(const std::vector<TargetLoad> &sums, bool includesLastReport,
                   core::TimePoint now);
    /// Updates the node's quota of a target that is in use by all nodes together, from the sums
    /// that were adopted last. `draw` is a random number from 0 to 1.
    void updateQuota(const core::TargetId &target, std::uint32_t size,
                     const InteractiveService &service, double draw);
    /// Number of nodes that share the windows without current sums.
    void setNodes(std::uint32_t nodes);

    /// Requests of the other nodes on the target, as of the last sums; never negative.
    std::uint32_t others(const core::TargetId &target) const;
    /// Whether the node may have another request on the target, beside `own`. A request that
    /// `yields` uses free slots only, as far as the sums show them.
    bool hasRoom(const core::TargetId &target, std::uint32_t own, std::uint32_t size,
                 const InteractiveService &service, bool yields, core::TimePoint now) const;
    /// Requests that a target may have from all nodes: its slots, and those that it can begin
    /// within half of the target latency. `occupancy` is the time for which a request has a slot.
    static std::uint32_t size(const InteractiveService &service, core::Duration occupancy);

private:
    /// The requests that this node may have on a target whose slots are in use. Less than one if
    /// more nodes have requests for it than its window has places.
    struct Quota
    {
        double requests = 0;
        /// Until the next sums; on average equal to `requests`.
        std::uint32_t allowed = 0;
    };

    Counts sums_;
    Counts lastReport_;
    /// This node's part of the sums.
    Counts ownPart_;
    std::map<core::TargetId, Quota> quotas_;
    std::optional<core::TimePoint> sumsAt_;
    std::uint32_t nodes_ = 0;
};

} // namespace boragerack::decisions
