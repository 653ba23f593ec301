#include "boragerack/decisions/Quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "boragerack/decisions/CrashAttribution.h"

namespace boragerack::decisions {

namespace {

/// Ages are rounded to milliseconds, and a request is sent again immediately after a crash.
constexpr std::chrono::milliseconds kAgeTolerance(5);
/// Crashes that are kept for one fingerprint, including those that do not count.
constexpr std::size_t kMaxCrashesPerEntry = 64;

bool overlap(const std::set<std::string> &left, const std::set<std::string> &right)
{
    return std::ranges::any_of(left,
                               [&](const std::string &value) { return right.contains(value); });
}

} // namespace

std::string quarantine::describe(const Announce &announce)
{
    const Evidence &evidence = announce.evidence;
    return "fingerprint=" + core::toHex(announce.fingerprint).substr(0, 16)
        + " remaining_ms=" + std::to_string(announce.remaining.count()) + " position="
        + std::to_string(evidence.position) + " crashes=" + std::to_string(evidence.crashes)
        + " targets=" + std::to_string(evidence.targets) + " origins="
        + std::to_string(evidence.origins) + " answered=" + (evidence.wasAnswered ? "yes" : "no");
}

Quarantine::Quarantine(QuarantineLimits limits)
    : limits_(limits)
{
}

std::vector<Quarantine::Action> Quarantine::handle(const Event &event, core::TimePoint now)
{
    startedAt_ = startedAt_.value_or(now);
    return std::visit([&](const auto &concrete) { return on(concrete, now); }, event);
}

std::optional<core::Error> Quarantine::check(const core::Digest &fingerprint,
                                             core::TimePoint now) const
{
    const auto position = entries_.find(fingerprint);
    if (position == entries_.end() || !position->second.isRefused
        || position->second.expiresAt <= now)
        return std::nullopt;
    const auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(position->second.expiresAt - now);
    return core::makeNotRunError(core::ErrorCode::Quarantined,
                                 "several targets ended while they ran this request", remaining);
}

std::vector<Quarantine::Action> Quarantine::on(const quarantine::CrashReport &event,
                                               core::TimePoint now)
{
    Entry &entry = findOrAdd(event.fingerprint, now);
    Actions actions;
    if (entry.isRefused && !entry.isHandedOver) {
        removeExplained(event.fingerprint, {event.target}, now, actions);
        return actions;
    }
    const core::TimePoint crashedAt = now - event.crashAge;
    const bool wasCompleted =
        entry.completedAt && crashedAt - *entry.completedAt < CrashAttribution::kCompletionValidity;
    entry.minOrigins = event.minOrigins;
    entry.wasAnswered = entry.wasAnswered || event.wasAnswered;
    if (wasCompleted || isExplained(event.target, entry)
        || std::ranges::find(entry.crashes, event.attempt, &Crash::attempt) != entry.crashes.end())
        return {};
    if (!entry.isRefused)
        entry.expiresAt = now + limits_.duration;
    entry.part = event.part;
    entry.position = event.position;
    entry.origins.insert(event.origin);
    entry.targets.insert(event.target);
    addCrash(entry, {event.attempt, event.target, now - event.sentAge, crashedAt});
    if (!mayBeCause(entry))
        return {};
    if (!entry.enoughAt)
        entry.enoughAt = now;
    // Whether a part is the cause is decided once all nodes have reported the crash.
    if (!entry.isPart() && !entry.isRefused)
        refuse(entries_.find(event.fingerprint), now, actions);
    return actions;
}

std::vector<Quarantine::Action> Quarantine::on(const quarantine::Tick &, core::TimePoint now)
{
    Actions actions;
    if (now - *startedAt_ < limits_.handoverDelay)
        return actions;
    while (true) {
        auto best = entries_.end();
        for (auto position = entries_.begin(); position != entries_.end(); ++position) {
            const Entry &entry = position->second;
            if (entry.enoughAt && entry.isPart() && (!entry.isRefused || entry.isHandedOver)
                && mayBeCause(entry) && !isExplainedByOther(entry)
                && (best == entries_.end() || isBetterExplanation(entry, best->second)))
                best = position;
        }
        if (best == entries_.end() || now - *best->second.enoughAt < limits_.reportDelay)
            return actions;
        refuse(best, now, actions);
    }
}

void Quarantine::addCrash(Entry &entry, Crash crash) const
{
    if (entry.crashes.size() >= kMaxCrashesPerEntry)
        entry.crashes = findSequence(entry.crashes);
    entry.crashes.insert(
        std::ranges::upper_bound(entry.crashes, crash.crashedAt, {}, &Crash::crashedAt),
        std::move(crash));
    entry.count = findSequence(entry.crashes).size();
}

Quarantine::Crashes Quarantine::findSequence(const Crashes &crashes) const
{
    Crashes sequence;
    for (const Crash &crash : crashes) {
        // Requests to a process that has crashed fail as well, so its crash counts once.
        const bool isNewTarget = limits_.minTargets == 1
            || std::ranges::find(sequence, crash.target, &Crash::target) == sequence.end();
        if (isNewTarget
            && (sequence.empty() || crash.sentAt >= sequence.back().crashedAt - kAgeTolerance))
            sequence.push_back(crash);
    }
    return sequence;
}

quarantine::Evidence Quarantine::evidenceOf(const Entry &entry)
{
    return {entry.position, entry.count, entry.targets.size(), entry.origins.size(),
            entry.wasAnswered};
}

bool Quarantine::hasEnoughCrashes(const Entry &entry) const
{
    // What was answered before is probably harmless.
    const std::uint32_t needed = limits_.maxCrashes + (entry.isAnsweredPart() ? 1 : 0);
    return entry.count >= needed && entry.origins.size() >= entry.minOrigins
        && entry.targets.size() >= limits_.minTargets;
}

bool Quarantine::mayBeCause(const Entry &entry) const
{
    return hasEnoughCrashes(entry) || (entry.isHandedOver && !entry.crashes.empty());
}

bool Quarantine::isBetterExplanation(const Entry &left, const Entry &right)
{
    // Of parts that occur together in each request, the last one is in the fewest others.
    const auto rank = [](const Entry &entry) {
        return std::tuple(!entry.wasAnswered, entry.targets.size(), entry.isHandedOver,
                          entry.position, entry.origins.size());
    };
    return rank(left) > rank(right);
}

bool Quarantine::isExplainedByOther(const Entry &entry) const
{
    return std::ranges::any_of(entries_, [&](const auto &item) {
        const Entry &other = item.second;
        if (!other.isPart() || other.origins.size() < other.minOrigins
            || (other.isRefused && !other.isHandedOver)
            || !std::ranges::includes(other.targets, entry.targets))
            return false;
        if (other.targets.size() > entry.targets.size())
            return mayExplain(other, entry);
        return other.part != entry.part && isBetterExplanation(other, entry);
    });
}

bool Quarantine::mayExplain(const Entry &explanation, const Entry &entry)
{
    return !explanation.isAnsweredPart() || !entry.isPart() || entry.wasAnswered;
}

bool Quarantine::isExplained(const std::string &target, const Entry &entry) const
{
    const auto position = explained_.find(target);
    return position != explained_.end()
        && (!position->second.byAnsweredPart || !entry.isPart() || entry.wasAnswered);
}

void Quarantine::refuse(Entries::iterator position, core::TimePoint now, Actions &actions)
{
    Entry &entry = position->second;
    entry.isHandedOver = false;
    if (!std::exchange(entry.isRefused, true))
        actions.push_back(
            quarantine::Announce {position->first, limits_.duration, evidenceOf(entry)});
    if (!entry.isPart())
        return;
    removeExplained(position->first, entry.targets, now, actions);
}

void Quarantine::removeExplained(const core::Digest &cause, const std::set<std::string> &targets,
                                 core::TimePoint now, Actions &actions)
{
    const Entry &explanation = entries_.at(cause);
    if (!explanation.isPart())
        return;
    std::erase_if(explained_, [now](const auto &item) { return item.second.until <= now; });
    for (const std::string &target : targets) {
        const auto [position, isNew] =
            explained_.try_emplace(target, Explanation {explanation.expiresAt, true});
        position->second.until = explanation.expiresAt;
        position->second.byAnsweredPart &= explanation.isAnsweredPart();
    }
    for (auto &[fingerprint, entry] : entries_) {
        // The same part may be a suspect for other organisations as well.
        if (fingerprint == cause || entry.part == explanation.part
            || !overlap(entry.targets, targets) || !mayExplain(explanation, entry))
            continue;
        if (entry.isPart() && !entry.isRefused && !entry.wasAnswered) {
            keepForNextCrash(entry, targets);
            continue;
        }
        // Both occurred in all requests that crashed targets.
        if (entry.isPart() && entry.wasAnswered == explanation.wasAnswered
            && std::ranges::includes(entry.targets, explanation.targets))
            continue;
        const bool hadCrashes = !entry.crashes.empty();
        std::erase_if(entry.crashes,
                      [&](const Crash &crash) { return targets.contains(crash.target); });
        std::erase_if(entry.targets,
                      [&](const std::string &target) { return targets.contains(target); });
        entry.count = findSequence(entry.crashes).size();
        // The crashes of a handed-over refusal may have been too long ago to be reported again.
        const bool isUnfounded =
            entry.isHandedOver ? hadCrashes && entry.crashes.empty() : !hasEnoughCrashes(entry);
        if (entry.isRefused && isUnfounded) {
            entry.isRefused = false;
            entry.isHandedOver = false;
            entry.wasLifted = true;
            actions.push_back(quarantine::Announce {fingerprint, std::chrono::milliseconds(0),
                                                    evidenceOf(entry)});
        }
    }
}

void Quarantine::keepForNextCrash(Entry &entry, const std::set<std::string> &explained) const
{
    const Crashes sequence = findSequence(entry.crashes);
    const auto kept = std::min<std::size_t>(sequence.size(), limits_.maxCrashes - 1);
    entry.crashes.assign(sequence.end() - static_cast<std::ptrdiff_t>(kept), sequence.end());
    entry.count = kept;
    entry.enoughAt.reset();
    std::erase_if(entry.targets, [&](const std::string &target) {
        return explained.contains(target)
            && std::ranges::find(entry.crashes, target, &Crash::target) == entry.crashes.end();
    });
}

std::vector<Quarantine::Action> Quarantine::on(const quarantine::Completed &event,
                                               core::TimePoint now)
{
    const auto position = entries_.find(event.fingerprint);
    if (position == entries_.end())
        return {};
    const bool wasRefused = position->second.isRefused;
    position->second = {.completedAt = now, .expiresAt = now + limits_.duration};
    if (!wasRefused)
        return {};
    return {quarantine::Announce {event.fingerprint, std::chrono::milliseconds(0)}};
}

std::vector<Quarantine::Action> Quarantine::on(const quarantine::Notice &event, core::TimePoint now)
{
    if (event.remaining.count() == 0) {
        entries_.erase(event.fingerprint);
        return {};
    }
    Entry &entry = findOrAdd(event.fingerprint, now);
    // Another node may not have got all crashes.
    if (entry.wasLifted)
        return {};
    entry.isHandedOver = entry.isHandedOver || !entry.isRefused;
    entry.isRefused = true;
    // A notice with a longer time than the limit allows must not extend the refusal.
    entry.expiresAt = std::max(entry.expiresAt, now + std::min(event.remaining, limits_.duration));
    return {};
}

std::vector<quarantine::Notice> Quarantine::refusals(core::TimePoint now) const
{
    std::vector<quarantine::Notice> refusals;
    for (const auto &[fingerprint, entry] : entries_) {
        if (entry.isRefused && entry.expiresAt > now)
            refusals.push_back(
                {fingerprint, std::chrono::ceil<std::chrono::milliseconds>(entry.expiresAt - now)});
    }
    return refusals;
}

Quarantine::Entry &Quarantine::findOrAdd(const core::Digest &fingerprint, core::TimePoint now)
{
    if (const auto position = entries_.find(fingerprint); position != entries_.end()) {
        if (position->second.expiresAt > now)
            return position->second;
        entries_.erase(position);
    }
    evictIfFull(now);
    return entries_.emplace(fingerprint, Entry {.expiresAt = now}).first->second;
}

void Quarantine::evictIfFull(core::TimePoint now)
{
    if (entries_.size() < limits_.maxEntries)
        return;
    std::erase_if(entries_, [&](const auto &item) { return item.second.expiresAt <= now; });
    if (entries_.size() < limits_.maxEntries)
        return;
    // Evicts single crashes before refusals, and within each group the entry that expires first.
    const auto evicted = std::ranges::min_element(entries_, {}, [](const auto &item) {
        return std::pair(item.second.isRefused, item.second.expiresAt);
    });
    entries_.erase(evicted);
}

} // namespace boragerack::decisions
