#include "boragerack/decisions/TargetRateLimiter.h"

#include <algorithm>

namespace boragerack::decisions {

std::optional<double> TargetRateLimiter::Target::rate() const
{
    const auto named = observation ? observation->requestsPerSecond : distributed;
    return limit ? std::min(*limit, named.value_or(*limit)) : named;
}

const TargetRateLimiter::Target *TargetRateLimiter::find(const TargetProcess &process) const
{
    const auto position = targets_.find(process);
    return position == targets_.end() ? nullptr : &position->second;
}

bool TargetRateLimiter::record(const TargetProcess &process,
                               std::optional<double> requestsPerSecond, core::TimePoint now)
{
    if (requestsPerSecond)
        requestsPerSecond = std::max(*requestsPerSecond, kMinRequestsPerSecond);
    if (rateOf(process) == requestsPerSecond)
        return false;
    targets_[process].observation = Observation {requestsPerSecond, now, false};
    return true;
}

void TargetRateLimiter::setLimit(const TargetProcess &process,
                                 std::optional<double> requestsPerSecond)
{
    targets_[process].limit = requestsPerSecond;
}

void TargetRateLimiter::adopt(const std::vector<TargetRate> &rates, core::TimePoint now)
{
    std::map<TargetProcess, double> next;
    for (const TargetRate &rate : rates)
        next[{rate.target, rate.startedAt}] = rate.requestsPerSecond;
    for (auto &[process, target] : targets_) {
        if (!next.contains(process))
            target.distributed.reset();
    }
    for (const auto &[process, rate] : next) {
        Target &target = targets_[process];
        if (target.distributed != rate)
            target.distributedAt = now;
        target.distributed = rate;
    }
    std::erase_if(targets_, [](const auto &item) {
        return !item.second.distributed && !item.second.observation && !item.second.limit;
    });
}

void TargetRateLimiter::handleSuccessor()
{
    for (auto &[process, target] : targets_) {
        if (target.observation)
            target.observation->isReported = false;
        else
            target.observation = Observation {target.distributed, target.distributedAt, false};
        target.distributed.reset();
    }
}

std::vector<RateObservation> TargetRateLimiter::takeObservations(core::TimePoint now)
{
    std::vector<RateObservation> observations;
    for (auto &[process, target] : targets_) {
        if (!target.observation)
            continue;
        target.observation->isReported = true;
        observations.push_back(
            {process, target.observation->requestsPerSecond,
             std::chrono::floor<std::chrono::milliseconds>(now - target.observation->at)});
    }
    return observations;
}

void TargetRateLimiter::handleAccepted()
{
    for (auto &[process, target] : targets_) {
        if (!target.observation || !target.observation->isReported)
            continue;
        // The answer also has the rate that results from the observations of all nodes.
        target.observation.reset();
    }
}

std::optional<double> TargetRateLimiter::rateOf(const TargetProcess &process) const
{
    const Target *target = find(process);
    return target ? target->rate() : std::nullopt;
}

bool TargetRateLimiter::hasPermit(const TargetProcess &process, core::TimePoint now) const
{
    const Target *target = find(process);
    return target && !target->permitExpiries.empty() && target->permitExpiries.back() > now;
}

std::optional<TargetRateLimiter::Permit> TargetRateLimiter::take(const TargetProcess &process,
                                                                 core::TimePoint now)
{
    const auto position = targets_.find(process);
    if (position == targets_.end())
        return std::nullopt;
    Target &target = position->second;
    std::deque<core::TimePoint> &expiries = target.permitExpiries;
    while (!expiries.empty() && expiries.front() <= now)
        expiries.pop_front();
    if (expiries.empty())
        return std::nullopt;
    const Permit permit {process, expiries.front()};
    expiries.pop_front();
    return permit;
}

void TargetRateLimiter::giveBack(const Permit &permit, core::TimePoint now)
{
    const auto position = targets_.find(permit.process);
    if (position == targets_.end() || permit.expiresAt <= now)
        return;
    std::deque<core::TimePoint> &expiries = position->second.permitExpiries;
    expiries.insert(std::ranges::upper_bound(expiries, permit.expiresAt), permit.expiresAt);
}

void TargetRateLimiter::credit(const PermitGrant &grant, core::TimePoint now)
{
    const auto position = std::ranges::find_if(targets_, [&](const auto &item) {
        return item.first.target == grant.target && item.second.rate();
    });
    if (position == targets_.end())
        return;
    position->second.permitExpiries.insert(position->second.permitExpiries.end(), grant.permits,
                                           now + kPermitLifetime);
}

void TargetRateLimiter::accrue(core::TimePoint now, std::uint32_t rank, std::uint32_t nodes)
{
    const double parts = std::max(1U, nodes);
    const double seconds =
        accruedAt_ ? std::chrono::duration<double>(now - *accruedAt_).count() : 0;
    accruedAt_ = now;
    const double lifetime = std::chrono::duration<double>(kPermitLifetime).count();
    for (auto &[process, target] : targets_) {
        if (!target.accrued)
            target.accrued = (rank % std::max(1U, nodes)) / parts;
        const double rate = target.rate().value_or(0) / parts;
        // Permits that accrued earlier have expired.
        *target.accrued =
            std::min(*target.accrued + rate * seconds, std::max(1.0, rate * lifetime));
        for (; *target.accrued >= 1; *target.accrued -= 1)
            target.permitExpiries.push_back(now + kPermitLifetime);
    }
}

void TargetRateLimiter::stopAccruing()
{
    accruedAt_.reset();
    for (auto &[process, target] : targets_)
        target.accrued.reset();
}

} // namespace boragerack::decisions
