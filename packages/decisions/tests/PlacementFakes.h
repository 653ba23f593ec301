#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/decisions/PlacementMessages.h"

namespace boragerack::decisions {

/// In-memory platform store with conditional updates. Versions increase across all objects.
class FakeRecordStore
{
public:
    template<class Record>
    struct PutResult
    {
        bool isApplied = false;
        Versioned<Record> current;
    };

    /// Replaces the value regardless of its version if `isConditional` is false.
    PutResult<ModelRecord> put(const WriteModel &write, bool isConditional = true);
    PutResult<TargetRecord> put(const WriteTarget &write, bool isConditional = true);
    PlatformSnapshot list() const;

    std::uint64_t revision() const { return revision_; }
    /// Whether the record of the artifact contains the decision.
    bool isDecided(const Artifact &artifact, const ReplicaDecision &entry) const;
    /// Number of decided replicas of the artifact.
    std::size_t decidedCount(const Artifact &artifact) const;

private:
    std::uint64_t revision_ = 0;
    std::map<Artifact, Versioned<ModelRecord>> models_;
    std::map<core::TargetId, Versioned<TargetRecord>> targets_;
};

/// Simulated engine that loads and unloads weights, caches checkpoints and can crash.
class FakeEngine
{
public:
    struct Settings
    {
        core::TargetId target;
        std::uint64_t memoryMiB = 0;
        bool checksFencing = false;
        std::uint64_t memoryCacheMiB = 0;
        std::uint64_t diskCacheMiB = 0;
    };

    explicit FakeEngine(Settings settings)
        : settings_(std::move(settings))
    {
    }

    const Settings &settings() const { return settings_; }
    /// Never refuses an order for lack of memory, so that tests can detect overcommitment.
    OrderOutcome receive(const SendOrder &order);
    void finishLoad(const OperationId &order);
    /// Frees the memory of weights that are being unloaded.
    void finishUnload(const Artifact &artifact);
    /// Loses all weights, received orders and the memory cache; the disk cache is kept.
    void crash();

    EngineReport report() const;
    std::uint64_t usedMiB() const;
    const std::vector<LoadedWeights> &loaded() const { return loaded_; }
    CheckpointTier placeOf(const Artifact &artifact) const;

private:
    struct Cache
    {
        std::vector<std::pair<Artifact, std::uint64_t>> entries;

        void put(const Artifact &artifact, std::uint64_t memoryMiB, std::uint64_t limitMiB);
        bool contains(const Artifact &artifact) const;
    };

    Settings settings_;
    std::uint64_t highestFence_ = 0;
    std::vector<LoadedWeights> loaded_;
    std::vector<OperationId> orders_;
    Cache memory_;
    Cache disk_;
};

} // namespace boragerack::decisions
