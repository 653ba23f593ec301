#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/serving/InteractiveService.h"
#include "boragerack/decisions/serving/RequestWork.h"

namespace boragerack::decisions {

/// Decides which replicas may get a prompt, so that long prompts delay few short ones. It answers
/// some 2 long prompts in 100 requests, at replicas that run up to their slots.
class LongPromptRouting
{
public:
    struct Prompt
    {
        bool isLong = false;
        /// Hash of what an engine keeps of the prompt: model, adapter and shared parts; zero if no
        /// part is shared.
        std::uint64_t shared = 0;

        friend bool operator==(const Prompt &, const Prompt &) = default;
    };

    /// A replica that can run the request.
    struct Replica
    {
        core::TargetId target;
        /// Requests of all nodes under way, as far as known to this one.
        std::uint32_t underWay = 0;
        /// The target is ejected, or an attempt of the request failed on it.
        bool isSuspected = false;
        /// The coordinator chose the target to read the long prompts for the model.
        bool isChosen = false;

        friend bool operator==(const Replica &, const Replica &) = default;
    };

    /// The tokens are those that a caller states, so each node may apply its own configuration.
    static bool isLong(const InteractiveService &service, const RequestWork &work);
    /// Tokens of a long prompt that the coordinator counts.
    static std::uint64_t countedTokens(const RequestWork &work);

    /// Targets among which the request has to be placed; empty if that may be any.
    std::vector<core::TargetId> narrow(const Prompt &prompt, std::uint32_t slots,
                                       const std::vector<Replica> &replicas) const;

    /// The request with a long prompt is sent to the target. The end of the read is not reported to
    /// the router, so it counts as under way until the attempt ends.
    void begin(std::uint64_t request, const core::TargetId &target);
    void end(std::uint64_t request) { reads_.erase(request); }

private:
    using Replicas = std::vector<const Replica *>;

    std::vector<core::TargetId> narrowLong(const Prompt &prompt, std::uint32_t slots,
                                           const Replicas &chosen, const Replicas &others) const;
    /// Targets without a long prompt of this node, if some have one and some do not.
    std::vector<core::TargetId> withoutReads(const Replicas &replicas) const;
    /// Long prompts of this node under way at the target.
    std::uint32_t reads(const core::TargetId &target) const;

    std::map<std::uint64_t, core::TargetId> reads_;
};

} // namespace boragerack::decisions
