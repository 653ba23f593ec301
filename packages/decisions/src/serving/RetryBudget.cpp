#include "boragerack/decisions/serving/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace boragerack::decisions {

namespace {

/// Fraction of the ratio that is used. The rest covers retries that a target counts later than the
/// node sent them.
constexpr double kUsedRatioFraction = 0.8;
/// Fraction of the slack that the nodes share. Within a window, the processes that an instance runs
/// one after the other use it up to twice: once by the process from before the window, and once as
/// it accrues.
constexpr double kSlackFraction = 0.45;
/// Fraction that a process has at once, so that a small fleet can send a request again in its first
/// seconds. Five restarts of all nodes in a window stay within the rest of the slack.
constexpr double kInitialSlackFraction = 0.02;
/// Requests and retries are counted in this many slices of the window.
constexpr int kSlicesPerWindow = 20;

} // namespace

RetryBudget::RetryBudget(const RetryLimits &limits, core::TimePoint startedAt)
    : limits_(limits)
    , startedAt_(startedAt)
{
}

void RetryBudget::setNodes(std::uint32_t nodes)
{
    nodes_ = std::max(nodes_, nodes);
}

void RetryBudget::countRequest(core::TimePoint now)
{
    ++sliceAt(now).requests;
}

bool RetryBudget::reserve(core::TimePoint now)
{
    const RetryUsage used = usage(now);
    if (used.retries + reserved_ + 1 > used.allowed)
        return false;
    ++reserved_;
    return true;
}

bool RetryBudget::commit(core::TimePoint now)
{
    release();
    const RetryUsage used = usage(now);
    if (used.retries + 1 > used.allowed)
        return false;
    ++sliceAt(now).retries;
    return true;
}

void RetryBudget::release()
{
    assert(reserved_ > 0);
    --reserved_;
}

RetryUsage RetryBudget::usage(core::TimePoint now)
{
    sliceAt(now);
    RetryUsage usage;
    for (const Slice &slice : slices_) {
        usage.requests += slice.requests;
        usage.retries += slice.retries;
    }
    usage.allowed = limits_.ratio * kUsedRatioFraction * usage.requests;
    if (nodes_ > 0)
        usage.allowed += limits_.slack
            * (kInitialSlackFraction + kSlackFraction * accruedFraction(now)) / nodes_;
    return usage;
}

double RetryBudget::accruedFraction(core::TimePoint now) const
{
    using Seconds = std::chrono::duration<double>;
    return std::min(1.0, Seconds(now - startedAt_) / Seconds(limits_.window));
}

RetryBudget::Slice &RetryBudget::sliceAt(core::TimePoint now)
{
    const core::Duration length = core::Duration(limits_.window) / kSlicesPerWindow;
    while (!slices_.empty() && now - slices_.front().start >= limits_.window)
        slices_.pop_front();
    if (slices_.empty() || now - slices_.back().start >= length)
        slices_.push_back({now, 0, 0});
    return slices_.back();
}

} // namespace boragerack::decisions
