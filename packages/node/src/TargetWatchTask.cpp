#include "TargetWatchTask.h"

#include <string_view>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "RecordJson.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::node {

namespace {

constexpr std::string_view kModelPrefix = "models/";
constexpr std::string_view kTargetPrefix = "targets/";
/// Delay after a failed watch, so that the platform is not flooded with calls during an outage.
constexpr std::chrono::milliseconds kRetryPause(500);

/// Adds the object to the changes if it is a valid model or target record. Version zero means that
/// the object does not exist.
void addChange(TargetChanges &changes, const std::string &key, std::uint64_t version,
               const std::string &value)
{
    if (key.starts_with(kModelPrefix)) {
        const auto record = parseModelRecord(value);
        if (core::isOk(record))
            changes.models.push_back({version, core::valueOf(record)});
    } else if (key.starts_with(kTargetPrefix)) {
        const auto record = parseTargetRecord(value);
        if (core::isOk(record))
            changes.targets.push_back({version, core::valueOf(record)});
    }
}

} // namespace

TargetWatchTask::TargetWatchTask(platform::PlatformStore &store,
                                 std::chrono::milliseconds listInterval,
                                 std::chrono::milliseconds watchWait)
    : store_(store)
    , listInterval_(listInterval)
    , watchWait_(watchWait)
{
}

void TargetWatchTask::start()
{
    fibers_.start([this] { runtime::runTask("instance watch", [this] { watchInstances(); }); });
    fibers_.start([this] { runtime::runTask("record watch", [this] { watchRecords(); }); });
}

void TargetWatchTask::watchInstances()
{
    while (!isStopping_) {
        const auto instances = store_.listInstances();
        setReachable(core::isOk(instances));
        if (core::isOk(instances)) {
            instances_ = core::valueOf(instances);
            publish();
            for (TargetWatchListener *listener : listeners_)
                listener->onInstances(instances_);
        }
        boost::this_fiber::sleep_for(listInterval_);
    }
}

void TargetWatchTask::watchRecords()
{
    while (!isStopping_ && !readSnapshot())
        boost::this_fiber::sleep_for(kRetryPause);
    if (!std::exchange(areModelsWatched_, true))
        fibers_.start([this] {
            runtime::runTask("model watch", [this] { watchPrefix(std::string(kModelPrefix)); });
        });
    watchPrefix(std::string(kTargetPrefix));
}

bool TargetWatchTask::readSnapshot()
{
    const auto models = store_.list(std::string(kModelPrefix));
    const auto targets = store_.list(std::string(kTargetPrefix));
    if (!core::isOk(models) || !core::isOk(targets))
        return false;
    TargetChanges changes;
    changes.isSnapshot = true;
    // The watch reports changes between the two reads again, which is harmless.
    changes.revision = core::valueOf(models).revision;
    for (const auto *list : {&core::valueOf(models), &core::valueOf(targets)}) {
        for (const platform::PlatformObject &object : list->objects)
            addChange(changes, object.key, object.version, object.value);
    }
    revision_ = changes.revision;
    records_.replace(changes.revision, changes.targets);
    publish();
    for (TargetWatchListener *listener : listeners_)
        listener->onTargetChanges(changes);
    return true;
}

void TargetWatchTask::watchPrefix(const std::string &prefix)
{
    std::uint64_t revision = revision_;
    while (!isStopping_) {
        const auto watched = store_.watch(prefix, revision, watchWait_);
        setReachable(core::isOk(watched));
        if (!core::isOk(watched)) {
            boost::this_fiber::sleep_for(kRetryPause);
            continue;
        }
        const platform::ChangeList &list = core::valueOf(watched);
        if (list.isExpired) {
            if (readSnapshot())
                revision = revision_;
            else
                boost::this_fiber::sleep_for(kRetryPause);
            continue;
        }
        revision = list.revision;
        applyChanges(list);
    }
}

void TargetWatchTask::applyChanges(const platform::ChangeList &list)
{
    TargetChanges changes;
    changes.revision = list.revision;
    for (const platform::ObjectChange &change : list.changes) {
        if (change.value)
            addChange(changes, change.key, change.version, *change.value);
    }
    if (changes.models.empty() && changes.targets.empty())
        return;
    for (const auto &target : changes.targets)
        records_.update(target);
    publish();
    for (TargetWatchListener *listener : listeners_)
        listener->onTargetChanges(changes);
}

void TargetWatchTask::publish()
{
    TargetTable table;
    for (const platform::InstanceRecord &instance : instances_) {
        if (instance.kind != platform::InstanceKind::Node)
            table.targets[core::TargetId {instance.instance.value}] = instance;
    }
    for (const auto &[target, known] : records_.records()) {
        for (const decisions::MemoryReservation &reservation : known.record.reservations) {
            if (reservation.phase == decisions::ReservationPhase::Ready
                && table.targets.contains(target))
                table.ready[reservation.artifact].push_back(target);
        }
    }
    if (table != *table_.get())
        table_.set(std::move(table));
}

void TargetWatchTask::setReachable(bool isReachable)
{
    if (*isReachable_.get() == isReachable)
        return;
    isReachable_.set(isReachable);
    runtime::logEvent(isReachable ? runtime::LogEvent::PlatformAvailable
                                  : runtime::LogEvent::PlatformUnavailable,
                      "instance list and watches");
    for (TargetWatchListener *listener : listeners_)
        listener->onPlatformReachable(isReachable);
}

} // namespace boragerack::node
