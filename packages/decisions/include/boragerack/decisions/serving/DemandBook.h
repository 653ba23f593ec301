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
    std::chrono::milliseconds aim = {};

    friend bool operator==(const FleetDemand &, const FleetDemand &) = default;
};

/// Adds up the demand that the nodes report.
class DemandBook
{
public:
    void report(const core::InstanceId &node, const std::vector<ArtifactDemand> &demands,
                const std::vector<ArtifactUse> &uses, core::TimePoint now);
    void removeNode(const core::InstanceId &node);

    /// Demand by artifact; only artifacts with waiting requests or requests in flight.
    std::map<Artifact, FleetDemand> demands(core::TimePoint now) const;
    std::uint32_t inFlight(const core::TargetId &target, const core::ModelId &model) const;
    std::uint32_t inFlight(const core::TargetId &target) const;
    std::vector<TargetLoad> loads() const;
    /// Requests a second for a model, adapters included, averaged over some seconds.
    double rate(const core::ModelId &model, core::TimePoint now) const;
    /// When the model was last asked for or in use; the epoch if never.
    core::TimePoint lastUse(const core::ModelId &model) const;

private:
    struct NodeReport
    {
        std::vector<ArtifactDemand> demands;
        std::vector<ArtifactUse> uses;
        core::TimePoint at;
    };

    struct Usage
    {
        double rate = 0;
        core::TimePoint updatedAt = {};
        core::TimePoint lastUse = {};
    };

    std::map<core::InstanceId, NodeReport> nodes_;
    std::map<core::ModelId, Usage> usage_;
};

} // namespace boragerack::decisions
