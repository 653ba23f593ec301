#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/EngineReport.h"

namespace boragerack::decisions {

/// A ready replica without requests in flight.
struct IdleReplica
{
    Artifact artifact;
    std::uint64_t memoryMiB = 0;
    core::TimePoint lastUsed = {};
    /// Expected time to load it again on this target.
    core::Duration reloadCost = core::Duration::zero();

    friend auto operator<=>(const IdleReplica &, const IdleReplica &) = default;
};

/// A target on which an artifact may be loaded.
struct TargetOffer
{
    core::TargetId target;
    std::uint64_t memoryMiB = 0;
    std::uint64_t freeMiB = 0;
    /// Fastest tier from which the target can load the checkpoint.
    CheckpointTier tier = CheckpointTier::Remote;
    /// Expected load time, without draining and unloading other replicas.
    core::Duration loadCost = core::Duration::zero();
    /// Replicas that may be unloaded to free memory.
    std::vector<IdleReplica> idle;
    /// The target has reported cached checkpoints, so it will also cache the one loaded now.
    bool hasCache = false;

    friend auto operator<=>(const TargetOffer &, const TargetOffer &) = default;
};

/// The target of a load, and the idle replicas to unload there first.
struct PlacementChoice
{
    core::TargetId target;
    std::vector<Artifact> evicted;

    friend auto operator<=>(const PlacementChoice &, const PlacementChoice &) = default;
};

/// Inputs of the hold time of an idle replica.
struct HoldRequest
{
    core::Duration reloadCost = core::Duration::zero();
    /// Reserved fraction of the target's memory, 0 to 1.
    double memoryUse = 0;
    bool isAdapter = false;

    friend auto operator<=>(const HoldRequest &, const HoldRequest &) = default;
};

/// Chooses the targets of loads and the hold times of idle replicas.
class PlacementPolicy
{
public:
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;
    virtual ~PlacementPolicy() = default;

    /// Returns nothing if no offer has enough memory even after unloading its idle replicas.
    virtual std::optional<PlacementChoice> choose(std::uint64_t memoryMiB,
                                                  std::span<const TargetOffer> offers,
                                                  core::TimePoint now) const = 0;
    /// Time after its last use for which an idle replica stays loaded.
    virtual core::Duration holdTime(const HoldRequest &request) const = 0;
};

} // namespace boragerack::decisions
