#include "boragerack/decisions/MemberView.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "boragerack/core/RendezvousHash.h"

namespace boragerack::decisions {

namespace {

/// Interval at which the suspicion of a member that remains unresponsive is reported again.
constexpr std::chrono::seconds kSuspicionRenewal {10};
/// Age at which a suspicion that is not renewed expires, so that a lost refutation does not exclude
/// a member for long.
constexpr std::chrono::seconds kSuspicionLifetime {30};
/// Time for which an instance must be missing from the list of instances before its record is
/// removed.
constexpr std::chrono::seconds kRecordRemovalDelay {30};
/// Time for which a removal is kept, so that an old record from a peer does not restore the member.
constexpr std::chrono::hours kRemovalLifetime {1};

std::uint64_t bucketOf(const core::InstanceId &instance)
{
    return core::stableHash(instance.value) % kMemberBucketCount;
}

std::uint64_t hashOf(const MemberRecord &record)
{
    return core::stableHash(record.instance.value, record.version);
}

} // namespace

core::Result<std::shared_ptr<const MemberView::Binding>>
MemberView::bind(const charts::StateChart &chart)
{
    using namespace std::string_view_literals;
    const charts::EnumNames<State, 3> states {{"alive"sv, "suspected"sv, "removed"sv}};
    const charts::EnumNames<ChartEvent, 5> events {
        {"suspect"sv, "refute"sv, "heartbeat"sv, "suspicionExpired"sv, "remove"sv}};
    const charts::EnumNames<ChartAction, 3> actions {
        {"withdrawRoles"sv, "restoreRoles"sv, "removeMember"sv}};
    auto binding = Binding::make(chart, states, events, actions);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const Binding>(core::takeValue(std::move(binding)));
}

MemberView::MemberView(std::shared_ptr<const Binding> binding, MemberRecord self)
    : binding_(std::move(binding))
    , selfId_(self.instance)
    , selfRecord_(std::move(self))
{
    entries_.emplace(selfId_,
                     Entry {selfRecord_,
                            charts::ChartInstance<State, ChartEvent, ChartAction>(binding_),
                            0,
                            {},
                            {}});
    rebuild();
}

std::vector<MemberView::Action> MemberView::handle(const Event &event, core::TimePoint now)
{
    now_ = now;
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    if (std::exchange(isChanged_, false)) {
        rebuild();
        actions_.emplace_back(MembersChanged {});
    }
    return std::exchange(actions_, {});
}

void MemberView::on(const RecordsRead &event)
{
    std::vector<MemberRecord> updates;
    isComplete_ = isComplete_ || event.isComplete;
    if (event.isComplete) {
        std::set<core::InstanceId> present;
        for (const MemberRecord &record : event.records)
            present.insert(record.instance);
        for (const auto &[instance, entry] : entries_) {
            if (!present.contains(instance) && entry.record.version != 0
                && entry.record.version <= event.revision) {
                updates.push_back(entry.record);
                updates.back().version = event.revision;
                updates.back().isRemoved = true;
            }
        }
    }
    updates.insert(updates.end(), event.records.begin(), event.records.end());
    for (const MemberRecord &record : updates) {
        if (merge(record))
            disseminate(MemberEventKind::Record, record, 0);
    }
}

void MemberView::on(const InstancesRead &event)
{
    seenInstances_.insert(event.instances.begin(), event.instances.end());
    std::erase_if(missingSince_, [&](const auto &missing) {
        return event.instances.contains(missing.first) || !entries_.contains(missing.first);
    });
    for (const auto &[instance, entry] : entries_) {
        if (instance == selfId_ || !seenInstances_.contains(instance)
            || event.instances.contains(instance))
            continue;
        const auto [missing, isFirst] = missingSince_.emplace(instance, now_);
        if (!isFirst && now_ - missing->second >= kRecordRemovalDelay) {
            actions_.emplace_back(RemoveRecord {instance, entry.record.version});
            missing->second = now_;
        }
    }
}

void MemberView::on(const EventReceived &event)
{
    bool isNew = false;
    switch (event.event.kind) {
    case MemberEventKind::Record:
        isNew = merge(event.event.record);
        break;
    case MemberEventKind::Suspected:
        isNew = applySuspicion(event.event);
        break;
    case MemberEventKind::Refuted:
        isNew = applyRefutation(event.event);
        break;
    }
    if (isNew)
        actions_.emplace_back(DisseminateEvent {event.event});
}

void MemberView::on(const TableReceived &event)
{
    isComplete_ = isComplete_ || !event.records.empty();
    for (const MemberRecord &record : event.records)
        merge(record);
}

void MemberView::on(const PeerResponded &event)
{
    const auto found = entries_.find(event.peer);
    if (found == entries_.end() || event.incarnation < found->second.record.incarnation)
        return;
    Entry &entry = found->second;
    // A process that restarted while the platform is down cannot update its record, so the
    // incarnation in the heartbeat may be newer.
    entry.record.incarnation = event.incarnation;
    entry.refutation = std::max(entry.refutation, event.refutation);
    fire(entry, ChartEvent::Heartbeat);
}

void MemberView::on(const PeerUnresponsive &event)
{
    const auto found = entries_.find(event.peer);
    if (found == entries_.end() || event.peer == selfId_)
        return;
    Entry &entry = found->second;
    if (entry.disseminatedAt && now_ - *entry.disseminatedAt < kSuspicionRenewal)
        return;
    entry.disseminatedAt = now_;
    entry.suspectedAt = now_;
    fire(entry, ChartEvent::Suspect);
    disseminate(MemberEventKind::Suspected, entry.record, entry.refutation);
}

void MemberView::on(const RecordWritten &event)
{
    MemberRecord record = selfRecord_;
    record.version = event.version;
    if (mergeOwn(record))
        disseminate(MemberEventKind::Record, record, 0);
}

void MemberView::on(const Tick &)
{
    if (aliveRing_.size() != ring_.size()) {
        for (auto &[instance, entry] : entries_) {
            if (now_ - entry.suspectedAt >= kSuspicionLifetime)
                fire(entry, ChartEvent::SuspicionExpired);
        }
    }
    std::erase_if(removals_, [&](const auto &removal) {
        return now_ - removal.second.at >= kRemovalLifetime;
    });
}

bool MemberView::merge(const MemberRecord &record)
{
    if (record.instance == selfId_)
        return mergeOwn(record);
    const auto removal = removals_.find(record.instance);
    if (removal != removals_.end() && removal->second.record.version >= record.version)
        return false;
    const auto found = entries_.find(record.instance);
    if (found != entries_.end() && found->second.record.version >= record.version)
        return false;
    isChanged_ = true;
    if (record.isRemoved) {
        if (found != entries_.end()) {
            fire(found->second, ChartEvent::Remove);
            entries_.erase(found);
        }
        removals_[record.instance] = {record, now_};
        return true;
    }
    removals_.erase(record.instance);
    if (found == entries_.end()) {
        entries_.emplace(record.instance,
                         Entry {record,
                                charts::ChartInstance<State, ChartEvent, ChartAction>(binding_),
                                0,
                                now_,
                                {}});
        return true;
    }
    Entry &entry = found->second;
    const bool isRestarted = record.incarnation > entry.record.incarnation;
    const std::uint64_t incarnation = std::max(record.incarnation, entry.record.incarnation);
    entry.record = record;
    entry.record.incarnation = incarnation;
    if (isRestarted) {
        entry.refutation = 0;
        fire(entry, ChartEvent::Refute);
    }
    return true;
}

bool MemberView::mergeOwn(const MemberRecord &record)
{
    Entry &entry = entries_.at(selfId_);
    if (record.version <= entry.record.version)
        return false;
    isChanged_ = true;
    // A record stored before this process started, or a removal while it runs, is replaced by this
    // process's own record. Until then the stored version is included in the hash as on other
    // nodes; otherwise they would fetch the records of this node repeatedly.
    entry.record.version = record.isRemoved ? 0 : record.version;
    const bool isOwn = !record.isRemoved && record.incarnation == selfRecord_.incarnation;
    selfRecord_.version = isOwn ? record.version : 0;
    return isOwn;
}

bool MemberView::applySuspicion(const MemberEvent &event)
{
    if (event.record.instance == selfId_) {
        if (event.record.incarnation == selfRecord_.incarnation
            && event.refutation >= refutation_) {
            refutation_ = event.refutation + 1;
            disseminate(MemberEventKind::Refuted, selfRecord_, refutation_);
        }
        return false;
    }
    const auto found = entries_.find(event.record.instance);
    if (found == entries_.end())
        return false;
    Entry &entry = found->second;
    if (event.record.incarnation < entry.record.incarnation || event.refutation < entry.refutation)
        return false;
    if (entry.disseminatedAt && now_ - *entry.disseminatedAt < kSuspicionRenewal / 2)
        return false;
    entry.disseminatedAt = now_;
    entry.suspectedAt = now_;
    fire(entry, ChartEvent::Suspect);
    return true;
}

bool MemberView::applyRefutation(const MemberEvent &event)
{
    const auto found = entries_.find(event.record.instance);
    if (found == entries_.end() || event.record.instance == selfId_)
        return false;
    Entry &entry = found->second;
    const auto current = std::pair(entry.record.incarnation, entry.refutation);
    const auto received = std::pair(event.record.incarnation, event.refutation);
    if (received <= current)
        return false;
    entry.record.incarnation = event.record.incarnation;
    entry.refutation = event.refutation;
    fire(entry, ChartEvent::Refute);
    return true;
}

void MemberView::disseminate(MemberEventKind kind, const MemberRecord &record,
                             std::uint32_t refutation)
{
    actions_.emplace_back(DisseminateEvent {{kind, record, refutation}});
}

void MemberView::fire(Entry &entry, ChartEvent event)
{
    // Every chart action changes which members may have a role, so the rings must be rebuilt.
    if (!entry.chart.fire(event).empty())
        isChanged_ = true;
}

void MemberView::rebuild()
{
    std::vector<std::pair<std::uint64_t, const Entry *>> sorted;
    buckets_ = {};
    for (const auto &[instance, entry] : entries_) {
        sorted.emplace_back(core::stableHash(instance.value), &entry);
        if (entry.record.version != 0)
            buckets_[bucketOf(instance)] ^= hashOf(entry.record);
    }
    std::sort(sorted.begin(), sorted.end());
    ring_.clear();
    aliveRing_.clear();
    for (const auto &[hash, entry] : sorted) {
        ring_.push_back(entry->record.instance);
        if (entry->chart.state() == State::Alive)
            aliveRing_.push_back(entry->record.instance);
    }
}

std::set<core::InstanceId> MemberView::suspected() const
{
    std::set<core::InstanceId> result;
    for (const auto &[instance, entry] : entries_) {
        if (entry.chart.state() == State::Suspected)
            result.insert(instance);
    }
    return result;
}

std::vector<core::InstanceId> MemberView::owners(std::string_view key, std::size_t count) const
{
    return core::rendezvousOwners(key, aliveRing_, count);
}

bool MemberView::isRelay() const
{
    const auto relays = owners("configuration-relay", kRelayCount);
    return std::find(relays.begin(), relays.end(), selfId_) != relays.end();
}

const MemberRecord *MemberView::find(const core::InstanceId &instance) const
{
    const auto found = entries_.find(instance);
    return found == entries_.end() ? nullptr : &found->second.record;
}

std::uint64_t MemberView::hash() const
{
    std::uint64_t all = 0;
    for (const std::uint64_t bucket : buckets_)
        all ^= bucket;
    return all;
}

std::vector<std::uint64_t> MemberView::bucketHashes() const
{
    return {buckets_.begin(), buckets_.end()};
}

std::vector<MemberRecord>
MemberView::differences(const std::vector<std::uint64_t> &bucketHashes) const
{
    const auto differs = [&](const core::InstanceId &instance) {
        const std::uint64_t bucket = bucketOf(instance);
        return bucket >= bucketHashes.size() || bucketHashes[bucket] != buckets_[bucket];
    };
    std::vector<MemberRecord> records;
    for (const auto &[instance, entry] : entries_) {
        if (entry.record.version != 0 && differs(instance))
            records.push_back(entry.record);
    }
    for (const auto &[instance, removal] : removals_) {
        if (differs(instance))
            records.push_back(removal.record);
    }
    return records;
}

} // namespace boragerack::decisions
