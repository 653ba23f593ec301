#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace boragerack::decisions {

/// Interval at which nodes report to one receiver. It increases with the number of senders, so that
/// the receiver's load and traffic do not grow with that number.
constexpr std::chrono::milliseconds reportInterval(std::size_t senders)
{
    constexpr std::chrono::milliseconds kMinInterval(100);
    constexpr std::chrono::milliseconds kIntervalPerSender(8);
    // With longer intervals, relayed proofs would expire and the nodes would read the platform.
    constexpr std::chrono::milliseconds kMaxInterval(500);
    return std::clamp(kIntervalPerSender * static_cast<int>(senders), kMinInterval, kMaxInterval);
}

/// Minimum time between two reports of one node if requests are waiting.
constexpr std::chrono::milliseconds urgentReportGap(std::chrono::milliseconds interval)
{
    constexpr std::chrono::milliseconds kMinGap(15);
    constexpr int kUrgentReportsPerInterval = 5;
    return std::max(kMinGap, interval / kUrgentReportsPerInterval);
}

} // namespace boragerack::decisions
