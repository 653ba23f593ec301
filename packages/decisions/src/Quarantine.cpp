#include "boragerack/decisions/Quarantine.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

core::Digest makeFingerprint(const core::OrganisationId &organisation, std::string_view route,
                             std::string_view body)
{
    // Length prefixes distinguish ("a", "bc") from ("ab", "c").
    std::string text;
    for (const std::string_view part : {std::string_view(organisation.value), route})
        text.append(std::to_string(part.size())).append(":").append(part);
    return core::makeDigest(text.append(body));
}

Quarantine::Quarantine(QuarantineLimits limits)
    : limits_(limits)
{
}

std::vector<Quarantine::Action> Quarantine::handle(const Event &event, core::TimePoint now)
{
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
    if (entry.isRefused || std::ranges::find(entry.crashes, event.attempt) != entry.crashes.end())
        return {};
    entry.crashes.push_back(event.attempt);
    entry.expiresAt = now + limits_.duration;
    if (entry.crashes.size() < limits_.maxCrashes)
        return {};
    entry.isRefused = true;
    return {quarantine::Announce {event.fingerprint, limits_.duration}};
}

std::vector<Quarantine::Action> Quarantine::on(const quarantine::Notice &event, core::TimePoint now)
{
    Entry &entry = findOrAdd(event.fingerprint, now);
    entry.isRefused = true;
    // A notice with a longer time than the limit allows must not extend the refusal.
    entry.expiresAt = std::max(entry.expiresAt, now + std::min(event.remaining, limits_.duration));
    return {};
}

Quarantine::Entry &Quarantine::findOrAdd(const core::Digest &fingerprint, core::TimePoint now)
{
    if (const auto position = entries_.find(fingerprint); position != entries_.end()) {
        if (position->second.expiresAt > now)
            return position->second;
        entries_.erase(position);
    }
    evictIfFull(now);
    return entries_.emplace(fingerprint, Entry {{}, false, now}).first->second;
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
