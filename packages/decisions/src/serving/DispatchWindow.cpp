#include "boragerack/decisions/serving/DispatchWindow.h"

#include <algorithm>
#include <utility>

#include "boragerack/decisions/serving/FleetSize.h"

namespace boragerack::decisions {

namespace {

/// Older sums say nothing about the present: most requests of then have ended.
constexpr std::chrono::milliseconds kMaxSumsAge(1000);

/// Limits the change of a quota with each of the sums, which show the effect of the last change
/// only in part.
constexpr double kMaxQuotaStep = 2;
/// A node with a smaller quota would wait for many sums; fleets have at most some hundred nodes.
constexpr double kMinQuota = 0.02;

std::uint32_t countOf(const DispatchWindow::Counts &counts, const core::TargetId &target)
{
    const auto position = counts.find(target);
    return position == counts.end() ? 0 : position->second;
}

} // namespace

void DispatchWindow::remember(Counts own)
{
    lastReport_ = std::move(own);
}

void DispatchWindow::adoptSums(const std::vector<TargetLoad> &sums, bool includesLastReport,
                               core::TimePoint now)
{
    sums_.clear();
    for (const TargetLoad &sum : sums)
        sums_[sum.target] = sum.inFlight;
    if (includesLastReport)
        ownPart_ = lastReport_;
    std::erase_if(quotas_, [this](const auto &item) { return !sums_.contains(item.first); });
    sumsAt_ = now;
}

void DispatchWindow::updateQuota(const core::TargetId &target, std::uint32_t size,
                                 const InteractiveService &service, double draw)
{
    const std::uint32_t sum = countOf(sums_, target);
    const bool isKnown = quotas_.contains(target);
    // Below half of the slots, the nodes no longer compete for them.
    if (sum < (isKnown ? service.slots / 4 : service.slots)) {
        quotas_.erase(target);
        return;
    }
    const std::uint32_t own = countOf(ownPart_, target);
    Quota &quota = quotas_[target];
    if (!isKnown)
        quota.requests = std::max(1U, own);
    const double step = static_cast<double>(size) / std::max(1U, sum);
    // A node that others leave alone on the target may fill its window at once.
    const double most = std::max(own + 1.0, std::max(1U, own) * step);
    quota.requests = std::clamp(quota.requests * std::clamp(step, 1 / kMaxQuotaStep, kMaxQuotaStep),
                                kMinQuota, most);
    quota.allowed = static_cast<std::uint32_t>(quota.requests + draw);
}

void DispatchWindow::setNodes(std::uint32_t nodes)
{
    nodes_ = nodes;
}

std::uint32_t DispatchWindow::others(const core::TargetId &target) const
{
    const std::uint32_t sum = countOf(sums_, target);
    return sum - std::min(sum, countOf(ownPart_, target));
}

bool DispatchWindow::hasRoom(const core::TargetId &target, std::uint32_t own, std::uint32_t size,
                             const InteractiveService &service, bool yields,
                             core::TimePoint now) const
{
    if (!sumsAt_ || now - *sumsAt_ > kMaxSumsAge) {
        const std::uint32_t nodes = nodes_ == 0 ? kAssumedNodes : nodes_;
        return own < std::max(1U, size / nodes);
    }
    if (yields && own + others(target) >= service.slots)
        return false;
    if (const auto quota = quotas_.find(target); quota != quotas_.end())
        return own < quota->second.allowed;
    const std::uint32_t part = std::max(1U, countOf(ownPart_, target));
    const std::uint32_t sum = part + others(target);
    // One more for each node, so that parts of one request do not leave slots free.
    if (sum < service.slots && own <= part)
        return true;
    // All nodes see the same room at the same time. Each takes a part of it that is proportional
    // to its part of the sums, since otherwise they would fill it several times over, and then
    // leave the target idle until the next sums.
    return own + 1 <= static_cast<double>(part) * size / sum;
}

std::uint32_t DispatchWindow::size(const InteractiveService &service, core::Duration occupancy)
{
    const double begun = std::chrono::duration<double>(service.targetLatency).count() / 2
        * service.slots / std::max(0.001, std::chrono::duration<double>(occupancy).count());
    // Answers of a few milliseconds would make the window useless.
    return service.slots
        + static_cast<std::uint32_t>(std::min(begun, static_cast<double>(service.slots)));
}

} // namespace boragerack::decisions
