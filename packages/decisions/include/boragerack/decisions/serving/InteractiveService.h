#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

struct ServingConfiguration;

/// A longer pause before the first part of a response interrupts a dialogue.
inline constexpr std::chrono::milliseconds kInteractiveLatency(400);

/// Prompt tokens that a model engine reads per millisecond.
inline constexpr std::uint32_t kReadTokensPerMs = 40;

/// A service with model engines and a streaming route whose target latency is at most
/// `kInteractiveLatency`. Only the requests of such services are ordered at the nodes, and only
/// their long prompts are kept apart from short ones.
struct InteractiveService
{
    core::ServiceId service;
    /// Shortest target latency of the streaming routes of the service.
    std::chrono::milliseconds targetLatency = {};
    /// Requests that a target of the service runs at the same time.
    std::uint32_t slots = 1;

    /// A prompt with more tokens is long: reading it takes more than half of the target latency.
    std::uint32_t longPromptTokens() const;

    friend auto operator<=>(const InteractiveService &, const InteractiveService &) = default;
};

std::vector<InteractiveService> findInteractiveServices(const ServingConfiguration &configuration);

} // namespace boragerack::decisions
