#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Long prompts for one model, and the replicas that can read them.
struct LongPromptWork
{
    double tokensPerSecond = 0;
    std::vector<core::TargetId> ready;

    friend bool operator==(const LongPromptWork &, const LongPromptWork &) = default;
};

/// Replicas that read the long prompts for a model; empty if there is no choice.
struct LongPromptChoice
{
    core::ModelId model;
    std::vector<core::TargetId> targets;

    friend auto operator<=>(const LongPromptChoice &, const LongPromptChoice &) = default;
};

/// Chooses the replicas that read the long prompts for each model, so that short prompts find
/// replicas without them. It answers a few long prompts in a hundred (2 % of the requests, each a
/// read of some 240 ms), which made one in ten short requests late.
class LongPromptPlanner
{
public:
    using Work = std::map<core::ModelId, LongPromptWork>;

    /// Returns the choices that changed. Models that `work` lacks have no ready replica.
    std::vector<LongPromptChoice> update(const Work &work, core::TimePoint now);
    /// Models whose long prompts each of the chosen targets reads, in order.
    std::map<core::TargetId, std::vector<core::ModelId>> modelsByTarget() const;
    /// There were no long prompts lately.
    bool isIdle() const { return counts_.empty(); }

private:
    /// Replicas that the work of a model needs, without regard to how many are ready.
    struct Count
    {
        std::uint32_t held = 0;
        /// When fewer became sufficient, and the most that were needed since.
        std::optional<core::TimePoint> fellAt;
        std::uint32_t mostSince = 0;
    };

    static void adjust(Count &count, std::uint32_t needed, core::TimePoint now);

    std::map<core::ModelId, Count> counts_;
    /// Only models with chosen replicas, which are in order.
    std::map<core::ModelId, std::vector<core::TargetId>> choices_;
};

} // namespace boragerack::decisions
