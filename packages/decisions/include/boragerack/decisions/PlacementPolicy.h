#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/EngineReport.h"

namespace boragerack::decisions {

/// A ready replica without work.
struct IdleReplica
{
    Artifact artifact;
    std::uint64_t memoryMiB = 0;
    core::TimePoint lastUsed = {};
    /// Expected time to bring it back on this target.
    core::Duration reloadCost = core::Duration::zero();

    friend auto operator<=>(const IdleReplica &, const IdleReplica &) = default;
};

/// A target that may take a load.
struct TargetOffer
{
    core::TargetId target;
    std::uint64_t memoryMiB = 0;
    std::uint64_t freeMiB = 0;
    CheckpointTier place = CheckpointTier::Remote;
    /// Expected time of the load itself.
    core::Duration loadCost = core::Duration::zero();
    std::vector<IdleReplica> idle;
    /// The target has reported cached checkpoints, so it will keep one of this model too.
    bool hasCache = false;

    friend auto operator<=>(const TargetOffer &, const TargetOffer &) = default;
};

/// Where to load, and which idle replicas to unload there first.
struct PlacementChoice
{
    core::TargetId target;
    std::vector<Artifact> evicted;

    friend auto operator<=>(const PlacementChoice &, const PlacementChoice &) = default;
};

/// What the hold time of an idle replica depends on.
struct HoldRequest
{
    core::Duration reloadCost = core::Duration::zero();
    /// Share of the target's memory that is reserved, 0 to 1.
    double memoryUse = 0;
    bool isAdapter = false;

    friend auto operator<=>(const HoldRequest &, const HoldRequest &) = default;
};

/// Decides where replicas are loaded and how long idle ones stay.
class PlacementPolicy
{
public:
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;
    virtual ~PlacementPolicy() = default;

    /// Nothing when no offer can take the memory even after unloading its idle replicas.
    virtual std::optional<PlacementChoice> choose(std::uint64_t memoryMiB,
                                                  std::span<const TargetOffer> offers,
                                                  core::TimePoint now) const = 0;
    virtual core::Duration holdTime(const HoldRequest &request) const = 0;
};

} // namespace boragerack::decisions
