#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Demand for one artifact, summed over all nodes.
struct FleetDemand
{
    core::ServiceId service;
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    /// Wait so far of the most urgent request, which has the least time left to its target latency.
    std::chrono::milliseconds oldestWait = {};
    /// Target latency of that request.
    std::chrono::milliseconds targetLatency = {};
    /// Requests that wait until a ready replica has room.
    std::uint32_t waitingForRoom = 0;

    friend bool operator==(const FleetDemand &, const FleetDemand &) = default;
};

/// Aggregates the demand reported by the nodes.
class DemandTracker
{
public:
    /// Without `uses`, the requests in flight of the node are unchanged.
    void report(const core::InstanceId &node, const std::vector<ArtifactDemand> &demands,
                const std::optional<std::vector<ArtifactInFlight>> &uses, core::TimePoint now);
    /// Removes the demand of a node, for instance because another node reports it.
    void removeNode(const core::InstanceId &node);
    /// Removes the demand of a node that no longer reports. Its requests may still run, so they
    /// count as possible uses until the node reports again or they must have ended.
    void suspendNode(const core::InstanceId &node, core::TimePoint now);
    /// Removes possible uses by requests that must have ended.
    void dropExpired(core::TimePoint now);

    /// Demand by artifact; only artifacts with waiting requests or requests in flight.
    std::map<Artifact, FleetDemand> demands(core::TimePoint now) const;
    /// Whether requests use the adapter, including those of nodes that no longer report.
    bool isPossiblyInUse(const core::TargetId &target, const Artifact &artifact) const;
    std::uint32_t inFlight(const core::TargetId &target, const core::ModelId &model) const;
    std::uint32_t inFlight(const core::TargetId &target) const;
    std::uint32_t inFlight(const core::ModelId &model) const;
    std::vector<TargetLoad> loads() const;
    /// Requests per second for a model, including its adapters, averaged over some seconds.
    double rate(const core::ModelId &model, core::TimePoint now) const;
    /// Tokens per second of long prompts for each model that has any, averaged in the same way.
    std::map<core::ModelId, double> longPromptRates(core::TimePoint now) const;
    /// When the model was last requested or in use; the epoch if never.
    core::TimePoint lastUse(const core::ModelId &model) const;

private:
    struct NodeReport
    {
        /// Only those with requests that wait for a replica or for room on one.
        std::vector<ArtifactDemand> demands;
        std::vector<ArtifactInFlight> uses;
        core::TimePoint at;
    };

    /// Requests in flight of a node when it reported last.
    struct SuspendedUses
    {
        std::vector<ArtifactInFlight> uses;
        core::TimePoint expiresAt;
    };

    /// Requests in flight for one model.
    struct ModelLoad
    {
        std::uint32_t inFlight = 0;
        std::map<core::TargetId, std::uint32_t> byTarget;
    };

    struct Usage
    {
        double rate = 0;
        double longPromptTokens = 0;
        core::TimePoint updatedAt = {};
        core::TimePoint lastUse = {};
    };

    void add(const std::vector<ArtifactInFlight> &uses);
    void subtract(const std::vector<ArtifactInFlight> &uses);

    std::map<core::InstanceId, NodeReport> nodes_;
    std::map<core::InstanceId, SuspendedUses> suspended_;
    /// Sums over the nodes. Updated with each report, because a placement decision reads them once
    /// for each model and target.
    std::map<Artifact, std::uint32_t> artifactLoads_;
    std::map<core::ModelId, ModelLoad> modelLoads_;
    std::map<core::TargetId, std::uint32_t> targetLoads_;
    std::map<core::ModelId, Usage> usage_;
};

} // namespace boragerack::decisions
