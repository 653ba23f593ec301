#include "boragerack/decisions/serving/PlatformReadPace.h"

#include <algorithm>

#include "boragerack/decisions/serving/FleetSize.h"

namespace boragerack::decisions {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kMaxStartDelay(1000);
constexpr microseconds kStartDelayPerNode(4000);
constexpr microseconds kReadDelayPerNode(5000);
constexpr microseconds kRetryDelayPerNode(12500);
constexpr milliseconds kFirstRetryDelay(50);
/// Short enough for a second call before a freshness proof expires.
constexpr milliseconds kLongestBackoff(400);
constexpr std::uint32_t kMaxBackoffShift = 3;

milliseconds scaled(microseconds perNode, std::uint32_t nodes, milliseconds limit)
{
    return std::min(limit, std::chrono::duration_cast<milliseconds>(perNode * nodes));
}

} // namespace

PlatformReadPace::PlatformReadPace(std::uint32_t nodes, bool isCoordinator)
    : nodes_(nodes == 0 ? kAssumedNodes : nodes)
    , isCoordinator_(isCoordinator)
{
}

milliseconds PlatformReadPace::startDelay() const
{
    return isCoordinator_ ? milliseconds(0) : scaled(kStartDelayPerNode, nodes_, kMaxStartDelay);
}

milliseconds PlatformReadPace::afterSuccess() const
{
    return isCoordinator_ ? milliseconds(0) : scaled(kReadDelayPerNode, nodes_, kMaxReadDelay);
}

milliseconds PlatformReadPace::afterFailures(std::uint32_t failures) const
{
    const milliseconds delay =
        std::min(kLongestBackoff, kFirstRetryDelay * (1 << std::min(failures, kMaxBackoffShift)));
    return isCoordinator_ ? delay
                          : std::max(delay, scaled(kRetryDelayPerNode, nodes_, kMaxRetryDelay));
}

} // namespace boragerack::decisions
