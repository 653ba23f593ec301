#include "Backoff.h"

#include <algorithm>

#include "boragerack/core/SystemRandomSource.h"

namespace boragerack::gateway {

std::chrono::milliseconds backoff(std::uint32_t failures)
{
    constexpr std::int64_t kFirstMs = 50;
    // Short enough for a second call within the time that a proof of freshness lasts.
    constexpr std::int64_t kLargestMs = 400;
    constexpr std::uint32_t kLargestShift = 3;
    const std::int64_t limit = std::min(kLargestMs, kFirstMs << std::min(failures, kLargestShift));
    static core::SystemRandomSource random;
    return std::chrono::milliseconds(
        limit / 2 + static_cast<std::int64_t>(random.next() % static_cast<std::uint64_t>(limit)));
}

} // namespace boragerack::gateway
