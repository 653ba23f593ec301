#include "boragerack/decisions/ShareTable.h"

#include <algorithm>
#include <utility>

#include "boragerack/core/RendezvousHash.h"

namespace boragerack::decisions {

namespace {

/// An instance is permanently absent if two reads of the instance list at least this far apart do
/// not contain it.
constexpr std::chrono::seconds kPermanentAbsenceTime(30);

/// A share moves to another preferred owner only after the preference has lasted this long, because
/// each change of owner costs a warm-up without accrual.
constexpr std::chrono::seconds kHandoverDelay(30);

/// The claims of all members are spread over this time per member, a few times the duration of a
/// write. All shares are in one object, so of several concurrent writes only one succeeds.
constexpr std::chrono::milliseconds kClaimSpacing(20);

/// Spread of the retry after a failed write. It can be short, because the failed write returns the
/// current version.
constexpr std::chrono::milliseconds kClaimRetrySpread(20);

} // namespace

ShareTable::ShareTable(ShareOwner self, std::shared_ptr<const ShareBinding> chart,
                       const BudgetPolicy &policy, const BudgetFaults &faults)
    : self_(std::move(self))
    , chart_(std::move(chart))
    , policy_(policy)
    , faults_(faults)
{
}

std::vector<ShareTableAction> ShareTable::handle(const ShareTableEvent &event, TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &value) { on(value, now, actions); }, event);
    decide(now, actions);
    if (needsWrite_ && !pendingWrite_)
        emitTableWrite(actions);
    return actions;
}

ShareState ShareTable::stateOf(const ShareKey &share) const
{
    const auto found = shares_.find(share);
    return found == shares_.end() ? chart_->initial() : found->second.lifecycle.state();
}

bool ShareTable::hasReleasedAll() const
{
    return std::none_of(
               owners_.begin(), owners_.end(),
               [this](const auto &entry) { return entry.second.instance == self_.instance; })
        && !pendingWrite_;
}

std::optional<TimePoint> ShareTable::nextTimer() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint time) {
        if (!next || time < *next)
            next = time;
    };
    if (hasPostponedClaims_)
        consider(claimsNotBefore_);
    // The next handover of a shard starts when the current one completes, not on a timer.
    const std::set<std::uint32_t> handoverShards = releasingShards();
    for (const auto &[key, share] : shares_) {
        if (share.lifecycle.accepts(ShareChartEvent::WarmUpEnded))
            consider(share.warmUpEnd);
        if (share.preferredElsewhereSince
            && share.lifecycle.accepts(ShareChartEvent::ReleaseDecided)
            && !handoverShards.contains(key.shard)) {
            consider(*share.preferredElsewhereSince + kHandoverDelay);
        }
    }
    return next;
}

void ShareTable::on(const ShareTableRead &event, TimePoint now, Actions &actions)
{
    // An older version can arrive late over another path and must not restore a released share.
    const bool isNewer = !hasReadTable_ || event.version > version_ || faults_.acceptOlderTable;
    hasReadTable_ = true;
    if (isNewer) {
        applyTable(event.version, event.owners, now, actions);
    } else if (event.version == version_ && pendingWrite_ && isOutcomeUnknown_) {
        // The pending write has not taken effect but still may, so only the same write is repeated.
        isOutcomeUnknown_ = false;
        actions.emplace_back(*pendingWrite_);
    }
}

void ShareTable::on(const ShareTableWritten &event, TimePoint now, Actions &actions)
{
    if (!pendingWrite_ || event.version <= version_)
        return;
    applyTable(event.version, pendingWrite_->owners, now, actions);
}

void ShareTable::on(const ShareTableWriteUnknown & /*event*/, TimePoint /*now*/, Actions &actions)
{
    isOutcomeUnknown_ = true;
    actions.emplace_back(ReadShareTable {});
}

void ShareTable::on(const InstanceListRead &event, TimePoint now, Actions & /*actions*/)
{
    const std::set<core::InstanceId> listed(event.instances.begin(), event.instances.end());
    for (const core::InstanceId &instance : seenInstances_) {
        if (listed.contains(instance))
            absences_.erase(instance);
        else
            ++absences_.try_emplace(instance, Absence {now, 0}).first->second.reads;
    }
    seenInstances_.insert(listed.begin(), listed.end());
}

void ShareTable::on(const BudgetMembersChanged &event, TimePoint now, Actions & /*actions*/)
{
    postponeClaims(kClaimSpacing * event.members.size(), now);
    preferredOwners_.clear();
    for (std::uint32_t shard = 0; shard < policy_.shardCount(); ++shard) {
        const auto owners = policy_.preferredOwners(shard, event.members);
        for (std::uint32_t index = 0; index < owners.size(); ++index)
            preferredOwners_.emplace(ShareKey {shard, index}, owners[index]);
    }
    for (auto &[key, share] : shares_) {
        const auto found = preferredOwners_.find(key);
        if (found == preferredOwners_.end() || found->second == self_.instance)
            share.preferredElsewhereSince.reset();
        else if (!share.preferredElsewhereSince)
            share.preferredElsewhereSince = now;
    }
}

void ShareTable::on(const ShareReleaseRequested & /*event*/, TimePoint now, Actions &actions)
{
    isStopping_ = true;
    for (const auto &entry : shares_)
        fire(entry.first, ShareChartEvent::ReleaseDecided, now, actions);
}

void ShareTable::on(const ShareTableTimerFired & /*event*/, TimePoint now, Actions &actions)
{
    for (const auto &[key, share] : shares_) {
        if (share.lifecycle.accepts(ShareChartEvent::WarmUpEnded) && share.warmUpEnd <= now)
            fire(key, ShareChartEvent::WarmUpEnded, now, actions);
    }
}

ShareTable::Share &ShareTable::shareAt(const ShareKey &key)
{
    return shares_.try_emplace(key, Share {Lifecycle(chart_), {}, {}}).first->second;
}

void ShareTable::fire(const ShareKey &key, ShareChartEvent event, TimePoint now, Actions &actions)
{
    Share &share = shareAt(key);
    for (const ShareChartAction action : share.lifecycle.fire(event)) {
        switch (action) {
        case ShareChartAction::WriteTable:
            needsWrite_ = true;
            break;
        case ShareChartAction::StartWarmUp:
            // Portions granted by the previous owner can be spent until then.
            share.warmUpEnd = faults_.skipWarmUp ? now : now + kPortionLifetimeWithDrift;
            if (const auto found = preferredOwners_.find(key);
                found != preferredOwners_.end() && found->second != self_.instance)
                share.preferredElsewhereSince = now;
            break;
        case ShareChartAction::StartGranting:
            actions.emplace_back(ShareGrantingStarted {key});
            break;
        case ShareChartAction::StopGranting:
            if (!(faults_.grantWhileReleasing && event == ShareChartEvent::ReleaseDecided))
                actions.emplace_back(ShareGrantingStopped {key});
            break;
        }
    }
    if (share.lifecycle.accepts(ShareChartEvent::WarmUpEnded) && share.warmUpEnd <= now)
        fire(key, ShareChartEvent::WarmUpEnded, now, actions);
}

/// Applies a table version and drops the pending write: once the version is newer than the one the
/// write expects, the write either is part of this version or can no longer succeed.
void ShareTable::applyTable(std::uint64_t version, ShareOwners owners, TimePoint now,
                            Actions &actions)
{
    const bool hasConflict = pendingWrite_ && pendingWrite_->owners != owners;
    version_ = version;
    owners_ = std::move(owners);
    if (hasConflict)
        postponeClaims(kClaimRetrySpread, now);
    pendingWrite_.reset();
    needsWrite_ = false;
    for (const auto &[key, owner] : owners_) {
        if (owner.instance == self_.instance)
            shareAt(key);
    }
    for (const auto &entry : shares_) {
        const auto found = owners_.find(entry.first);
        const bool isOwned = found != owners_.end() && found->second.instance == self_.instance
            && (found->second.incarnation == self_.incarnation || faults_.keepWithoutClaim);
        fire(entry.first,
             isOwned ? ShareChartEvent::OwnedInTable : ShareChartEvent::NotOwnedInTable, now,
             actions);
    }
    std::erase_if(shares_, [this](const auto &entry) {
        return entry.second.lifecycle.state() == chart_->initial();
    });
}

void ShareTable::decide(TimePoint now, Actions &actions)
{
    hasPostponedClaims_ = false;
    if (!hasReadTable_)
        return;
    if (isStopping_) {
        for (const auto &entry : shares_)
            fire(entry.first, ShareChartEvent::ReleaseDecided, now, actions);
        needsWrite_ = needsWrite_ || !hasReleasedAll();
        return;
    }
    for (const auto &entry : owners_) {
        if (entry.second.instance == self_.instance)
            claim(entry.first, now, actions);
    }
    for (const auto &[key, owner] : preferredOwners_) {
        if (owner == self_.instance)
            claim(key, now, actions);
    }
    // One share per shard at a time, since each handover stops that share's accrual for a warm-up.
    std::set<std::uint32_t> handoverShards = releasingShards();
    for (const auto &[key, share] : shares_) {
        if (!share.preferredElsewhereSince || now < *share.preferredElsewhereSince + kHandoverDelay)
            continue;
        if (share.lifecycle.accepts(ShareChartEvent::ReleaseDecided)
            && handoverShards.insert(key.shard).second)
            fire(key, ShareChartEvent::ReleaseDecided, now, actions);
    }
}

void ShareTable::claim(const ShareKey &key, TimePoint now, Actions &actions)
{
    if (stateOf(key) != chart_->initial() || !canClaim(key, now))
        return;
    if (now < claimsNotBefore_)
        hasPostponedClaims_ = true;
    else
        fire(key, ShareChartEvent::AcquireDecided, now, actions);
}

void ShareTable::postponeClaims(std::chrono::milliseconds spread, TimePoint now)
{
    const std::uint64_t hash = core::stableHash(self_.instance.value, version_);
    claimsNotBefore_ = now + std::chrono::milliseconds(hash % (1 + spread.count()));
}

std::set<std::uint32_t> ShareTable::releasingShards() const
{
    std::set<std::uint32_t> shards;
    for (const auto &[key, share] : shares_) {
        if (share.lifecycle.state() == ShareState::Releasing)
            shards.insert(key.shard);
    }
    return shards;
}

bool ShareTable::canClaim(const ShareKey &key, TimePoint now) const
{
    const auto found = owners_.find(key);
    return found == owners_.end() || found->second.instance == self_.instance
        || isPermanentlyAbsent(found->second.instance, now);
}

bool ShareTable::isPermanentlyAbsent(const core::InstanceId &instance, TimePoint now) const
{
    const auto found = absences_.find(instance);
    if (found == absences_.end())
        return false;
    return faults_.claimAfterOneMissedRead
        || (found->second.reads >= 2 && now - found->second.since >= kPermanentAbsenceTime);
}

void ShareTable::emitTableWrite(Actions &actions)
{
    WriteShareTable update {version_, owners_};
    for (const auto &[key, share] : shares_) {
        if (share.lifecycle.state() == ShareState::Acquiring)
            update.owners.insert_or_assign(key, self_);
        else if (share.lifecycle.state() == ShareState::Releasing)
            update.owners.erase(key);
    }
    if (isStopping_) {
        std::erase_if(update.owners, [this](const auto &entry) {
            return entry.second.instance == self_.instance;
        });
    }
    needsWrite_ = false;
    isOutcomeUnknown_ = false;
    pendingWrite_ = update;
    actions.emplace_back(std::move(update));
}

} // namespace boragerack::decisions
