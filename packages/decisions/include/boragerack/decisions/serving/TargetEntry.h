#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/TargetAdvice.h"

namespace boragerack::decisions {

/// A model that is ready on a target, with the adapters loaded for it.
struct ModelReplica
{
    core::ModelId model;
    std::uint64_t weightsVersion = 0;
    std::vector<core::AdapterId> adapters;

    friend auto operator<=>(const ModelReplica &, const ModelReplica &) = default;
};

/// Entry of a target in the instance list, as published by the target.
struct TargetEntry
{
    core::TargetId target;
    core::ServiceId service;
    std::string address;
    core::DataCentreId dataCentre;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /// The platform no longer lists the target, but may have dropped it in an outage.
    bool isUnconfirmed = false;
    /// Operators have evacuated the data centre; the target gets no new work.
    bool isEvacuated = false;
    /// The target has started recently and tolerates only a limited rate of requests.
    bool isCold = false;
    /// Milliseconds since the Unix epoch at which the process started; changes at a restart under
    /// the same identifier.
    std::uint64_t startedAt = 0;
    std::vector<ModelReplica> replicas;
    /// Models whose weights are cached in memory or on disk, from which they load faster than from
    /// the weight store.
    std::vector<core::ModelId> inMemory;
    std::vector<core::ModelId> onDisk;

    bool holds(const Artifact &artifact) const;
    bool hasInMemory(const core::ModelId &model) const;
    bool hasOnDisk(const core::ModelId &model) const;
    /// Whether requests may be sent, and loads ordered, to the target.
    bool acceptsWork() const { return !isLeaving && !isEvacuated; }
    TargetProcess process() const { return {target, startedAt}; }

    friend auto operator<=>(const TargetEntry &, const TargetEntry &) = default;
};

using TargetEntries = std::map<core::TargetId, TargetEntry>;

/// Whether the entries contain this process of the target.
bool isListed(const TargetEntries &entries, const TargetProcess &process);

/// Response of a target to a request for its current state; may be some hundred milliseconds old.
struct TargetReport
{
    std::uint64_t startedAt = 0;
    /// Number of orders that the target has accepted since its start.
    std::uint64_t orderSequence = 0;
    bool isBusy = false;
    std::vector<ModelReplica> replicas;
    /// Adapters in transit to the target; they already occupy adapter slots.
    std::vector<Artifact> arriving;

    friend auto operator<=>(const TargetReport &, const TargetReport &) = default;
};

} // namespace boragerack::decisions
