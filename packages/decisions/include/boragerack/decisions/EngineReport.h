#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "boragerack/decisions/Artifact.h"
#include "boragerack/decisions/OperationId.h"

namespace boragerack::decisions {

enum class WeightsState { Loading, Ready, Unloading };

/// Weights in the memory of an engine, and the order that loaded them.
struct LoadedWeights
{
    Artifact artifact;
    WeightsState state = WeightsState::Loading;
    std::uint64_t memoryMiB = 0;
    OperationId order;

    friend auto operator<=>(const LoadedWeights &, const LoadedWeights &) = default;
};

/// Storage tier of a checkpoint, fastest first.
enum class CheckpointTier { Memory, Disk, Remote };

struct CachedCheckpoint
{
    Artifact artifact;
    CheckpointTier tier = CheckpointTier::Remote;

    friend auto operator<=>(const CachedCheckpoint &, const CachedCheckpoint &) = default;
};

/// State of an engine at the time it made the report. Reports may arrive late and out of order.
struct EngineReport
{
    std::uint64_t memoryMiB = 0;
    std::uint64_t usedMiB = 0;
    bool isLeaving = false;
    std::vector<LoadedWeights> loaded;
    /// Load and unload orders that the engine has received, including those it refused.
    std::vector<OperationId> orders;
    std::vector<CachedCheckpoint> cached;

    friend auto operator<=>(const EngineReport &, const EngineReport &) = default;
};

} // namespace boragerack::decisions
