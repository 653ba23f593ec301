#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"

namespace boragerack::decisions {

/// Demand for one artifact over all nodes.
struct FleetDemand
{
    core::ServiceId service;
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    /// Longest wait of the most urgent request, as of now.
    std::chrono::milliseconds oldestWait = {};
    std::chrono::milliseconds targetLatency = {};

    friend bool operator==(const FleetDemand &, const FleetDemand &) = default;
};

/// Adds up the demand that the nodes report.
class DemandTracker
{
public:
    void report(const core::InstanceId &node, const std::vector<ArtifactDemand> &demands,
                const std::vector<ArtifactInFlight> &uses, core::TimePoint now);
    void removeNode(const core::InstanceId &node);

    /// Demand by artifact; only artifacts with waiting requests or requests in flight.
    std::map<Artifact, FleetDemand> demands(core::TimePoint now) const;
    std::uint32_t inFlight(const core::TargetId &target, const core::ModelId &model) const;
    std::uint32_t inFlight(const core::TargetId &target) const;
    std::uint32_t inFlight(const core::ModelId &model) const;
    std::vector<TargetLoad> loads() const;
    /// Requests a second for a model, adapters included, averaged over some seconds.
    double rate(const core::ModelId &model, core::TimePoint now) const;
    /// When the model was last asked for or in use; the epoch if never.
    core::TimePoint lastUse(const core::ModelId &model) const;

private:
    struct NodeReport
    {
        /// Only those with waiting requests.
        std::vector<ArtifactDemand> demands;
        std::vector<ArtifactInFlight> uses;
        core::TimePoint at;
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
        core::TimePoint updatedAt = {};
        core::TimePoint lastUse = {};
    };

    void count(const std::vector<ArtifactInFlight> &uses);
    void discount(const std::vector<ArtifactInFlight> &uses);

    std::map<core::InstanceId, NodeReport> nodes_;
    /// Sums over the nodes, kept up to date with each report, because a decision asks for them once
    /// for each model and target.
    std::map<Artifact, std::uint32_t> artifactLoads_;
    std::map<core::ModelId, ModelLoad> modelLoads_;
    std::map<core::TargetId, std::uint32_t> targetLoads_;
    std::map<core::ModelId, Usage> usage_;
};

} // namespace boragerack::decisions
