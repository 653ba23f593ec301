#pragma once

#include <chrono>
#include <cstdint>

namespace boragerack::gateway {

/// Pause before the next call after `failures` calls in a row have failed. It varies, so that nodes
/// that lost the platform together do not come back together.
std::chrono::milliseconds backoff(std::uint32_t failures);

} // namespace boragerack::gateway
