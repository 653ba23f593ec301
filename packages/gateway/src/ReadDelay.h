#pragma once

#include <chrono>

#include "boragerack/core/RandomSource.h"

namespace boragerack::gateway {

/// The delay with random jitter of a half in both directions, so that nodes that lost the platform
/// at the same time do not retry at the same time.
inline std::chrono::milliseconds withJitter(std::chrono::milliseconds delay,
                                            core::RandomSource &random)
{
    const auto range = static_cast<std::uint64_t>(delay.count()) + 1;
    return delay / 2 + std::chrono::milliseconds(random.next() % range);
}

} // namespace boragerack::gateway
