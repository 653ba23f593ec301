#include "Backoff.h"

#include <algorithm>

#include "boragerack/core/SystemRandomSource.h"

namespace boragerack::gateway {

std::chrono::milliseconds backoff(std::uint32_t failures)
{
    constexpr std::int64_t kFirstMs = 50;
    // Short enough for a second call before a freshness proof expires.
    constexpr std::int64_t kMaxMs = 400;
    constexpr std::uint32_t kMaxShift = 3;
    const std::int64_t limit = std::min(kMaxMs, kFirstMs << std::min(failures, kMaxShift));
    static core::SystemRandomSource random;
    return std::chrono::milliseconds(
        limit / 2 + static_cast<std::int64_t>(random.next() % static_cast<std::uint64_t>(limit)));
}

} // namespace boragerack::gateway
