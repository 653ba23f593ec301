#pragma once

#include <chrono>
#include <cstdint>

namespace boragerack::gateway {

/// Delay before the next call after `failures` consecutive failures. It has random jitter, so that
/// nodes that lost the platform at the same time do not retry at the same time.
std::chrono::milliseconds backoff(std::uint32_t failures);

} // namespace boragerack::gateway
