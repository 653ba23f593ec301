// What targets announced in their responses: permits for limited rates, pauses and stops.

#include <algorithm>
#include <chrono>

#include "boragerack/decisions/serving/RequestRouter.h"

namespace boragerack::decisions {

namespace {

/// Longer than the deadline of any request.
constexpr core::Duration kNever = std::chrono::hours(24);

/// Permits of up to this many times the rate, and one, may be used within one second: those granted
/// in the second before, those granted in this one, and a full bucket.
constexpr double kPermitsPerSecondAndRate = 2.5;

core::Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

bool RequestRouter::claimSend(std::uint64_t request, const core::TargetId &target,
                              core::TimePoint now)
{
    const auto held = heldPermits_.extract(request);
    const auto position = entries_->find(target);
    if (position == entries_->end() || !position->second.acceptsWork())
        return false;
    const TargetProcess process = position->second.process();
    if (closures_.isClosed(process, now))
        return false;
    if (!rates_.rateOf(process))
        return true;
    const bool isHeld = held && held.mapped().process == process && held.mapped().expiresAt > now;
    return isHeld || rates_.take(process, now);
}

const TargetEntry *
RequestRouter::choosePermitTarget(const RouteRequirements &demand,
                                  const std::map<core::TargetId, PermitRequest> &waiting,
                                  core::TimePoint now) const
{
    const TargetEntry *best = nullptr;
    double bestSeconds = 0;
    for (const auto &[target, entry] : *entries_) {
        if (!isUsable(entry, demand, now))
            continue;
        const auto rate = rates_.rateOf(entry.process());
        if (!rate)
            continue;
        const auto ahead = waiting.find(target);
        const double seconds = (ahead == waiting.end() ? 1 : ahead->second.waiting + 1) / *rate;
        if (!best || seconds < bestSeconds) {
            best = &entry;
            bestSeconds = seconds;
        }
    }
    return best;
}

std::vector<PermitRequest> RequestRouter::takePermitRequests(core::TimePoint now)
{
    std::map<core::TargetId, PermitRequest> requests;
    for (const auto &[request, waiting] : waiting_) {
        // Targets without a limit are ready for these.
        if (queue_.isForRoom(request))
            continue;
        if (const TargetEntry *entry = choosePermitTarget(waiting.demand, requests, now)) {
            PermitRequest &permits = requests[entry->target];
            permits.target = entry->target;
            ++permits.waiting;
        }
    }
    for (const core::TargetId &target : std::exchange(missedPermits_, {}))
        requests.try_emplace(target, PermitRequest {.target = target, .reserve = 1});
    std::vector<PermitRequest> result;
    for (const auto &[target, permits] : requests)
        result.push_back(permits);
    return result;
}

std::optional<double> RequestRouter::coldRate(const TargetEntry &entry) const
{
    const auto rate = coldRates_.find(entry.service);
    if (!entry.isCold || rate == coldRates_.end())
        return std::nullopt;
    return std::max((rate->second - 1) / kPermitsPerSecondAndRate, kMinRequestsPerSecond);
}

void RequestRouter::updateColdTargets(core::TimePoint now)
{
    for (const auto &[target, entry] : *entries_) {
        const TargetProcess process = entry.process();
        if (const auto rate = coldRate(entry)) {
            const auto known = coldTargets_.find(process);
            if (known != coldTargets_.end() && known->second == *rate)
                continue;
            coldTargets_[process] = *rate;
            // The coordinator grants the permits, and gets the rate from the reports of the nodes.
            hasNewAdvice_ = rates_.record(process, rate, now) || hasNewAdvice_;
            rates_.setLimit(process, rate);
        } else if (coldTargets_.erase(process) > 0) {
            rates_.setLimit(process, std::nullopt);
            // If the target itself named a rate, its next response names it again.
            hasNewAdvice_ = rates_.record(process, std::nullopt, now) || hasNewAdvice_;
        }
    }
}

std::vector<RateObservation> RequestRouter::takeRateObservations(core::TimePoint now)
{
    return rates_.takeObservations(now);
}

bool RequestRouter::isEvacuated(const core::ServiceId &service) const
{
    bool isFound = false;
    for (const auto &[target, entry] : *entries_) {
        if (entry.service != service)
            continue;
        if (!entry.isEvacuated)
            return false;
        isFound = true;
    }
    return isFound;
}

std::optional<core::Duration> RequestRouter::knownWait(const RouteRequirements &demand,
                                                       core::TimePoint now) const
{
    if (isEvacuated(demand.service))
        return kNever;
    // The coordinator can load an artifact on another target at any time.
    if (demand.artifact && demand.only.empty())
        return std::nullopt;
    // Other targets may join at any time, unless the request is bound to some.
    std::optional<core::Duration> least;
    if (!demand.only.empty())
        least = kNever;
    double rate = 0;
    double permits = 0;
    for (const auto &[target, entry] : *entries_) {
        if (!isEligible(entry, demand))
            continue;
        const TargetProcess process = entry.process();
        const auto opensAt = closures_.opensAt(process, now);
        if (!opensAt)
            continue;
        if (*opensAt > now) {
            least = std::min(least.value_or(kNever), core::Duration(*opensAt - now));
            continue;
        }
        const auto limited = rates_.rateOf(process);
        if (!limited)
            return std::nullopt;
        rate += *limited;
        permits += permitCapacity(*limited);
    }
    if (rate > 0) {
        const auto ahead = std::ranges::count_if(waiting_, [&](const auto &item) {
            return item.second.demand.service == demand.service;
        });
        const double missing = static_cast<double>(ahead) + 1 - permits;
        least = std::min(least.value_or(kNever), toDuration(std::max(0.0, missing / rate)));
    }
    return least && least->count() > 0 ? least : std::nullopt;
}

} // namespace boragerack::decisions
