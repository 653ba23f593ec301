#include "boragerack/decisions/ShareTable.h"

#include <algorithm>
#include <utility>

#include "boragerack/core/RendezvousHash.h"

namespace boragerack::decisions {

namespace {

/// Two reads this far apart must both miss an instance before its shares are taken.
constexpr std::chrono::seconds kAbsenceBeforeGone(30);

/// A change of owner costs a warm-up without accrual, so a share moves to its preferred owner only
/// when the preference has lasted.
constexpr std::chrono::seconds kHandoverDelay(30);

/// Claims of all members are spread over this time for each member, a few times that of a write.
/// All shares are in one object, so concurrent writes would make each other fail.
constexpr std::chrono::milliseconds kClaimSpacing(20);

/// A failed write brings the present version, so its repetition soon after has a good chance.
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
    if (needsWrite_ && !pending_)
        write(actions);
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
        && !pending_;
}

std::optional<TimePoint> ShareTable::nextTimer() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint time) {
        if (!next || time < *next)
            next = time;
    };
    if (hasPostponedClaims_)
        consider(claimsAt_);
    // The next handover of a shard waits for the end of the present one, which is no timer event.
    const std::set<std::uint32_t> moving = releasingShards();
    for (const auto &[key, share] : shares_) {
        if (share.lifecycle.accepts(ShareChartEvent::WarmUpEnded))
            consider(share.warmUpEnd);
        if (share.preferredElsewhereSince
            && share.lifecycle.accepts(ShareChartEvent::ReleaseDecided)
            && !moving.contains(key.shard)) {
            consider(*share.preferredElsewhereSince + kHandoverDelay);
        }
    }
    return next;
}

void ShareTable::on(const ShareTableRead &event, TimePoint now, Actions &actions)
{
    // An older version can arrive late by another way. It must not bring a released share back.
    const bool isNews = !hasRead_ || event.version > version_ || faults_.acceptOlderTable;
    hasRead_ = true;
    if (isNews) {
        adopt(event.version, event.owners, now, actions);
    } else if (event.version == version_ && pending_ && isOutcomeUnknown_) {
        // The write has not taken effect yet, and may still do so: only the same one may be sent.
        isOutcomeUnknown_ = false;
        actions.emplace_back(*pending_);
    }
}

void ShareTable::on(const ShareTableWritten &event, TimePoint now, Actions &actions)
{
    if (!pending_ || event.version <= version_)
        return;
    adopt(event.version, pending_->owners, now, actions);
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
            absent_.erase(instance);
        else
            ++absent_.try_emplace(instance, Absence {now, 0}).first->second.reads;
    }
    seenInstances_.insert(listed.begin(), listed.end());
}

void ShareTable::on(const BudgetMembersChanged &event, TimePoint now, Actions & /*actions*/)
{
    postponeClaims(kClaimSpacing * event.members.size(), now);
    preferred_.clear();
    for (std::uint32_t shard = 0; shard < policy_.shardCount(); ++shard) {
        const auto owners = policy_.preferredOwners(shard, event.members);
        for (std::uint32_t index = 0; index < owners.size(); ++index)
            preferred_.emplace(ShareKey {shard, index}, owners[index]);
    }
    for (auto &[key, share] : shares_) {
        const auto found = preferred_.find(key);
        if (found == preferred_.end() || found->second == self_.instance)
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
    for (const ShareChartAction step : share.lifecycle.fire(event)) {
        switch (step) {
        case ShareChartAction::WriteTable:
            needsWrite_ = true;
            break;
        case ShareChartAction::StartWarmUp:
            // Portions granted by the previous owner may be spent for this long.
            share.warmUpEnd = faults_.skipWarmUp ? now : now + kPortionLifetimeWithDrift;
            if (const auto found = preferred_.find(key);
                found != preferred_.end() && found->second != self_.instance)
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

/// A newer version than the one a write expected proves that the write can have no effect any more
/// beyond what this version shows.
void ShareTable::adopt(std::uint64_t version, ShareOwners owners, TimePoint now, Actions &actions)
{
    const bool hasLost = pending_ && pending_->owners != owners;
    version_ = version;
    owners_ = std::move(owners);
    if (hasLost)
        postponeClaims(kClaimRetrySpread, now);
    pending_.reset();
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
    if (!hasRead_)
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
    for (const auto &[key, owner] : preferred_) {
        if (owner == self_.instance)
            claim(key, now, actions);
    }
    // One share of a shard at a time: each move stops a part of the shard's rate for a warm-up.
    std::set<std::uint32_t> moving = releasingShards();
    for (const auto &[key, share] : shares_) {
        if (!share.preferredElsewhereSince || now < *share.preferredElsewhereSince + kHandoverDelay)
            continue;
        if (share.lifecycle.accepts(ShareChartEvent::ReleaseDecided)
            && moving.insert(key.shard).second)
            fire(key, ShareChartEvent::ReleaseDecided, now, actions);
    }
}

void ShareTable::claim(const ShareKey &key, TimePoint now, Actions &actions)
{
    if (stateOf(key) != chart_->initial() || !mayClaim(key, now))
        return;
    if (now < claimsAt_)
        hasPostponedClaims_ = true;
    else
        fire(key, ShareChartEvent::AcquireDecided, now, actions);
}

void ShareTable::postponeClaims(std::chrono::milliseconds spread, TimePoint now)
{
    const std::uint64_t draw = core::stableHash(self_.instance.value, version_);
    claimsAt_ = now + std::chrono::milliseconds(draw % (1 + spread.count()));
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

bool ShareTable::mayClaim(const ShareKey &key, TimePoint now) const
{
    const auto found = owners_.find(key);
    return found == owners_.end() || found->second.instance == self_.instance
        || isGoneForGood(found->second.instance, now);
}

bool ShareTable::isGoneForGood(const core::InstanceId &instance, TimePoint now) const
{
    const auto found = absent_.find(instance);
    if (found == absent_.end())
        return false;
    return faults_.claimAfterOneMissedRead
        || (found->second.reads >= 2 && now - found->second.since >= kAbsenceBeforeGone);
}

void ShareTable::write(Actions &actions)
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
    pending_ = update;
    actions.emplace_back(std::move(update));
}

} // namespace boragerack::decisions
