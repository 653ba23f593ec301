#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "boragerack/decisions/AttemptController.h"
#include "boragerack/decisions/ClaimProtocol.h"

namespace boragerack::decisions::testing {

/// Settings of one simulated history: several calls with the same identity at several nodes, a
/// platform and targets.
struct HistorySettings
{
    std::shared_ptr<const ClaimBinding> claimChart;
    std::shared_ptr<const AttemptBinding> attemptChart;
    /// Random choices, consumed in order; once they are used up, no further fault is injected.
    std::vector<std::uint8_t> chances;
    std::uint32_t calls = 4;
    /// The node that performs the action with this number crashes right after it.
    std::optional<std::uint32_t> killAtAction;
    SendPolicy policy = SendPolicy::AtMostOnce;
    /// Disables a mechanism: the request is sent before its claim is held.
    bool sendsBeforeClaim = false;
    /// Disables a mechanism: all claims of a node carry the same sequence.
    bool repeatsSequence = false;
};

struct CallResult
{
    std::uint32_t node = 0;
    bool nodeDied = false;
    std::uint32_t results = 0;
    std::uint32_t executions = 0;
    core::Verdict verdict = core::Verdict::NotRun;
    core::ErrorCode code = core::ErrorCode::Internal;
    /// Body of the answer; empty for a refusal.
    std::string body;
};

struct HistoryResult
{
    std::vector<CallResult> calls;
    std::uint32_t executions = 0;
    std::uint32_t actions = 0;
    /// First property that was violated; empty if all hold.
    std::string violation;
};

HistoryResult runHistory(const HistorySettings &settings);

} // namespace boragerack::decisions::testing
