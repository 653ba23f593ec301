#include "boragerack/decisions/serving/TargetDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Entries lapse after three missed heartbeat intervals, so a removal within this time after the
/// last failed call may be an effect of the outage.
constexpr std::chrono::milliseconds kOutageEffectDuration(3000);

/// Removed entries are remembered for longer than the age of a copy from which the platform is
/// restored.
constexpr std::chrono::minutes kMaxCopyAge(5);

} // namespace

bool TargetDirectory::handle(const targets::Event &event, core::TimePoint now)
{
    if (std::holds_alternative<targets::PlatformFailed>(event)) {
        platformFailedAt_ = now;
        isPlatformLost_ = true;
        return false;
    }
    if (std::holds_alternative<targets::PlatformRestored>(event)) {
        platformFailedAt_ = now;
        platformRestoredAt_ = now;
        return false;
    }
    if (std::holds_alternative<targets::Tick>(event))
        return removeLapsed(now);
    if (const auto *relayed = std::get_if<targets::Relayed>(&event))
        return relay(*relayed, now);
    // All others come from a call to the platform that succeeded.
    isPlatformLost_ = false;
    if (const auto *listed = std::get_if<targets::Listed>(&event))
        return replace(*listed, now);
    if (const auto *updated = std::get_if<targets::Updated>(&event))
        return updateRead(updated->entry, updated->heartbeat, now);
    if (const auto *evacuations = std::get_if<targets::EvacuationsListed>(&event))
        return markEvacuated(evacuations->dataCentres);
    if (const auto *removed = std::get_if<targets::Removed>(&event))
        return removeRead(removed->target, now);
    contentAt_ = std::max(contentAt_, std::get<targets::Confirmed>(event).contentAt);
    isRelayed_ = false;
    return false;
}

TargetEntry TargetDirectory::withEvacuation(TargetEntry entry) const
{
    entry.isEvacuated = evacuated_.contains(entry.dataCentre);
    return entry;
}

bool TargetDirectory::markEvacuated(const std::set<core::DataCentreId> &dataCentres)
{
    evacuated_ = dataCentres;
    // Relayed entries stay as they are until this node has read the list itself.
    if (isRelayed_)
        return false;
    bool isChanged = false;
    for (auto &[target, entry] : entries_) {
        const bool isEvacuated = evacuated_.contains(entry.dataCentre);
        isChanged = std::exchange(entry.isEvacuated, isEvacuated) != isEvacuated || isChanged;
    }
    return isChanged;
}

bool TargetDirectory::isOutdated(const TargetEntry &entry, std::uint64_t heartbeat) const
{
    const auto position = processes_.find(entry.target);
    if (position == processes_.end())
        return false;
    const Process &process = position->second;
    if (entry.startedAt != process.startedAt)
        return entry.startedAt < process.startedAt;
    if (heartbeat == 0)
        return false;
    // A target whose entry lapsed writes it again, with the next heartbeat.
    return process.removedAt ? heartbeat <= process.highestHeartbeat
                             : heartbeat < process.heartbeat;
}

bool TargetDirectory::update(const TargetEntry &updated, std::uint64_t heartbeat)
{
    if (isOutdated(updated, heartbeat))
        return false;
    lapsing_.erase(updated.target);
    Process &process = processes_[updated.target];
    const bool isSameProcess = process.startedAt == updated.startedAt;
    if (process.removedAt && isSameProcess)
        returned_.push_back(updated.process());
    // A leaving target stays leaving until its process restarts.
    process.isLeaving = updated.isLeaving || (process.isLeaving && isSameProcess);
    process.heartbeat = heartbeat;
    process.highestHeartbeat =
        isSameProcess ? std::max(process.highestHeartbeat, heartbeat) : heartbeat;
    process.startedAt = updated.startedAt;
    process.removedAt.reset();
    TargetEntry &entry = entries_[updated.target];
    if (entry == updated)
        return false;
    entry = updated;
    entry.isLeaving = process.isLeaving;
    return true;
}

bool TargetDirectory::updateRead(const TargetEntry &updated, std::uint64_t heartbeat,
                                 core::TimePoint now)
{
    Process &process = processes_[updated.target];
    process.readAt = now;
    // The first heartbeat that is read after a restore may be that of the copy, so only a later one
    // shows that the target is live.
    if (process.removedAt && process.highestHeartbeat == 0 && process.startedAt == updated.startedAt
        && platformRestoredAt_ && *process.removedAt < *platformRestoredAt_) {
        process.highestHeartbeat = heartbeat;
        return false;
    }
    return update(withEvacuation(updated), heartbeat);
}

bool TargetDirectory::removeRead(const core::TargetId &target, core::TimePoint now)
{
    Process &process = processes_[target];
    process.readAt = now;
    if (!process.removedAt)
        process.removedAt = now;
    return remove(target, now);
}

bool TargetDirectory::replace(const targets::Listed &list, core::TimePoint now)
{
    listedAt_ = now;
    bool isChanged = false;
    for (const TargetEntry &entry : list.entries) {
        const auto heartbeat = list.heartbeats.find(entry.target);
        isChanged =
            updateRead(entry, heartbeat == list.heartbeats.end() ? 0 : heartbeat->second, now)
            || isChanged;
    }
    for (const core::TargetId &target : missingFrom(list.entries))
        isChanged = remove(target, now) || isChanged;
    return isChanged;
}

std::vector<core::TargetId> TargetDirectory::missingFrom(const std::vector<TargetEntry> &list) const
{
    std::set<core::TargetId> present;
    for (const TargetEntry &entry : list)
        present.insert(entry.target);
    std::vector<core::TargetId> missing;
    for (const auto &[target, entry] : entries_) {
        if (!present.contains(target))
            missing.push_back(target);
    }
    return missing;
}

bool TargetDirectory::hasReadSince(const core::TargetId &target, core::TimePoint contentAt) const
{
    const auto position = processes_.find(target);
    return listedAt_ > contentAt
        || (position != processes_.end() && position->second.readAt > contentAt);
}

bool TargetDirectory::applyRelayed(core::TimePoint contentAt, core::TimePoint now)
{
    isRelayApplied_ = true;
    bool isChanged = false;
    const auto isCurrent = [&](const core::TargetId &target) {
        const bool isNewer = !hasReadSince(target, contentAt);
        isRelayApplied_ = isRelayApplied_ && isNewer;
        return isNewer;
    };
    for (const TargetEntry &entry : *relayedEntries_) {
        if (isCurrent(entry.target))
            isChanged = update(entry, 0) || isChanged;
    }
    for (const core::TargetId &target : missingFrom(*relayedEntries_)) {
        if (isCurrent(target))
            isChanged = remove(target, now) || isChanged;
    }
    return isChanged;
}

bool TargetDirectory::relay(const targets::Relayed &event, core::TimePoint now)
{
    if (event.entries) {
        relayedEntries_ = event.entries;
        relayedVersion_ = event.version;
        isRelayApplied_ = false;
    }
    if (!canConfirm(event.version) || event.contentAt <= contentAt_)
        return false;
    // A list may arrive with the time of the one before, if only the evacuations have changed.
    const bool isKnown = std::exchange(isRelayed_, true) && isRelayApplied_;
    const bool isChanged = !isKnown && applyRelayed(event.contentAt, now);
    // What this node has read of the other targets may be older than the relayed list, if the
    // answer was handled late.
    if (isRelayApplied_)
        contentAt_ = event.contentAt;
    isPlatformLost_ = isPlatformLost_ && contentAt_ <= *platformFailedAt_;
    return isChanged;
}

bool TargetDirectory::removeLapsed(core::TimePoint now)
{
    std::erase_if(processes_, [now](const auto &item) {
        return item.second.removedAt && now - *item.second.removedAt >= kMaxCopyAge;
    });
    // While calls to the platform fail, it is unknown whether lapsed entries are live.
    if (isPlatformLost_)
        return false;
    bool isChanged = false;
    std::erase_if(lapsing_, [&](const auto &item) {
        if (item.second > now)
            return false;
        isChanged = entries_.erase(item.first) > 0 || isChanged;
        return true;
    });
    return isChanged;
}

bool TargetDirectory::remove(const core::TargetId &target, core::TimePoint now)
{
    const auto position = entries_.find(target);
    if (position == entries_.end())
        return false;
    if (Process &process = processes_[target]; !process.removedAt)
        process.removedAt = now;
    // A target that announced its stop has left, regardless of the platform's state.
    if (hadRecentOutage(now) && !position->second.isLeaving) {
        // The last list had the entry. Lists before the failure say nothing about its time.
        const core::TimePoint removedAt = contentAt_ > *platformFailedAt_ ? contentAt_ : now;
        lapsing_.emplace(target, removedAt + kLapseGrace);
        return !std::exchange(position->second.isUnconfirmed, true);
    }
    entries_.erase(position);
    lapsing_.erase(target);
    return true;
}

bool TargetDirectory::hadRecentOutage(core::TimePoint now) const
{
    return platformFailedAt_ && now - *platformFailedAt_ < kOutageEffectDuration;
}

} // namespace boragerack::decisions
