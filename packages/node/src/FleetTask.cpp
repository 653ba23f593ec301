#include "FleetTask.h"

#include <utility>

#include "FleetEvents.h"
#include "boragerack/config/ConfigurationJson.h"
#include "boragerack/config/ListCheck.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::node {

using decisions::ConfigurationSync;
using decisions::FreshnessMonitor;
using decisions::MemberView;

namespace {

constexpr std::size_t kMailboxCapacity = 4096;
constexpr std::chrono::milliseconds kTickInterval(100);
/// A watch proves freshness only as of its start, so it must be short.
constexpr std::chrono::milliseconds kWatchWait(500);

std::string prefixOf(decisions::FleetAgent::Prefix prefix)
{
    return prefix == decisions::FleetAgent::Prefix::Lists ? "lists/" : "nodes/";
}

std::string headKey()
{
    return "config/accepted";
}

std::string partKey(const core::Digest &digest)
{
    return "config/parts/" + core::toHex(digest);
}

std::string memberKey(const core::InstanceId &instance)
{
    return "nodes/" + instance.value;
}

} // namespace

FleetTask::FleetTask(const decisions::FleetCharts &charts, platform::PlatformStore &store,
                     FleetMessenger &messenger, const core::Clock &clock,
                     FreshnessListener &listener)
    : store_(store)
    , messenger_(messenger)
    , clock_(clock)
    , listener_(listener)
    , charts_(charts)
    , mailbox_(kMailboxCapacity)
{
}

FleetTask::~FleetTask() = default;

void FleetTask::start(const decisions::MemberRecord &self)
{
    agent_.emplace(charts_, self);
    fibers_.start([this] { runtime::runTask("fleet", [this] { run(); }); });
}

void FleetTask::stop()
{
    isStopping_ = true;
}

bool FleetTask::trySend(FleetTaskMessage message)
{
    return mailbox_.trySend(std::move(message));
}

void FleetTask::postEvent(Agent::Event event)
{
    static_cast<void>(mailbox_.send(FleetTaskMessage(std::move(event))));
}

void FleetTask::postEventAsync(Agent::Event event)
{
    fibers_.start([this, event = std::move(event)]() mutable { postEvent(std::move(event)); });
}

void FleetTask::run()
{
    publishMembers();
    while (!isStopping_) {
        if (auto message = mailbox_.receiveUntil(lastTickAt_ + kTickInterval))
            std::visit([this](const auto &body) { on(body); }, *message);
        // Ticks must also occur while messages arrive continuously.
        if (clock_.now() - lastTickAt_ >= kTickInterval) {
            lastTickAt_ = clock_.now();
            handleEvent(Agent::Tick());
        }
    }
    mailbox_.close();
}

void FleetTask::on(const Agent::Event &event)
{
    handleEvent(event);
}

void FleetTask::on(const MemberTableRequested &message)
{
    memberRequests_[message.from] = message.reply;
    handleEvent(Agent::MessageReceived {message.from, message.fetch});
    memberRequests_.erase(message.from);
}

void FleetTask::handleEvent(const Agent::Event &event)
{
    for (const Agent::Action &action : agent_->handle(event, clock_.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

void FleetTask::perform(const Agent::SendMessage &action)
{
    const auto asked = memberRequests_.find(action.to);
    const auto *table = std::get_if<decisions::MemberTable>(&action.message);
    if (table && asked != memberRequests_.end())
        asked->second.set(*table);
    else
        messenger_.send(action.to, action.message);
}

void FleetTask::perform(const Agent::QueryBootstrapPeers &action)
{
    messenger_.queryBootstrapPeers(action.fetch);
}

void FleetTask::perform(const Agent::ReadPrefix &action)
{
    fibers_.start([this, action] {
        const core::TimePoint requestedAt = clock_.now();
        const auto list = store_.list(prefixOf(action.prefix));
        if (!core::isOk(list))
            postEvent(Agent::PrefixFailed {action.prefix, action.request, false});
        else if (action.prefix == Agent::Prefix::Lists)
            postEvent(Agent::ListsAnswered {action.request,
                                            makeListsRead(core::valueOf(list), requestedAt)});
        else
            postEvent(Agent::NodesAnswered {action.request, makeRecordsRead(core::valueOf(list))});
    });
}

void FleetTask::perform(const Agent::WatchPrefix &action)
{
    fibers_.start([this, action] {
        const core::TimePoint requestedAt = clock_.now();
        const auto changes = store_.watch(prefixOf(action.prefix), action.after, kWatchWait);
        if (!core::isOk(changes) || core::valueOf(changes).isExpired)
            postEvent(Agent::PrefixFailed {action.prefix, action.request, core::isOk(changes)});
        else if (action.prefix == Agent::Prefix::Lists)
            postEvent(Agent::ListsAnswered {action.request,
                                            makeListsRead(core::valueOf(changes), requestedAt)});
        else
            postEvent(
                Agent::NodesAnswered {action.request, makeRecordsRead(core::valueOf(changes))});
    });
}

void FleetTask::perform(const Agent::ReadInstances &)
{
    fibers_.start([this] {
        const auto instances = store_.listInstances();
        if (!core::isOk(instances))
            return;
        MemberView::InstancesRead read;
        for (const platform::InstanceRecord &record : core::valueOf(instances))
            read.instances.insert(record.instance);
        postEvent(std::move(read));
    });
}

void FleetTask::perform(const Agent::WriteRecord &action)
{
    // Callers receive the addresses of all members, so a node joins only once it can serve.
    if (!agent_->freshness().mayServe(clock_.now()))
        return;
    fibers_.start([this, action] {
        std::uint64_t version = 0;
        replaceObject(memberKey(action.record.instance), serialiseMember(action.record), &version);
        if (version != 0)
            postEvent(MemberView::RecordWritten {version});
    });
}

void FleetTask::replaceObject(const std::string &key, const std::string &value,
                              std::uint64_t *version)
{
    const auto current = store_.read(key);
    if (!core::isOk(current))
        return;
    std::optional<std::uint64_t> expected;
    if (const auto &object = core::valueOf(current))
        expected = object->version;
    const auto result = store_.write(key, value, expected);
    if (const auto *applied = std::get_if<platform::WriteApplied>(&result); applied && version)
        *version = applied->version;
}

void FleetTask::perform(const MemberView::RemoveRecord &action)
{
    fibers_.start([this, action] { store_.remove(memberKey(action.instance), action.version); });
}

void FleetTask::perform(const MemberView::MembersChanged &)
{
    publishMembers();
}

void FleetTask::publishMembers()
{
    const MemberView &view = agent_->members();
    const auto suspected = view.suspected();
    MembershipSnapshot members;
    std::vector<decisions::MemberRecord> records;
    for (const core::InstanceId &instance : view.ring()) {
        const decisions::MemberRecord *record = view.find(instance);
        if (!record)
            continue;
        members.members.push_back({*record, suspected.contains(instance)});
        records.push_back(*record);
    }
    messenger_.updateMembers(records);
    members_.set(std::move(members));
}

void FleetTask::perform(const Relay::ReadHead &)
{
    fibers_.start([this] {
        const core::TimePoint requestedAt = clock_.now();
        const auto object = store_.read(headKey());
        if (!core::isOk(object)) {
            postEvent(Relay::ReadFailed());
            return;
        }
        Relay::HeadRead read {std::nullopt, requestedAt};
        if (const auto &stored = core::valueOf(object)) {
            const auto head = config::parseConfigurationHead(stored->value);
            if (!core::isOk(head)) {
                postEvent(Relay::ReadFailed());
                return;
            }
            read.stored = decisions::StoredHead {core::valueOf(head), stored->version};
        }
        postEvent(std::move(read));
    });
}

void FleetTask::perform(const Relay::ReadPart &action)
{
    fibers_.start([this, action] {
        const auto object = store_.read(partKey(action.digest));
        if (!core::isOk(object) || !core::valueOf(object))
            postEvent(Relay::ReadFailed());
        else
            postEvent(Relay::PartRead {action.digest,
                                       parseConfigurationPart(core::valueOf(object)->value)});
    });
}

void FleetTask::perform(const Relay::CheckCandidate &action)
{
    Relay::CandidateChecked checked {action.check, {}, {}};
    const auto result = config::checkLists(action.texts);
    if (const auto *fault = std::get_if<config::ListError>(&result)) {
        checked.part = fault->part;
        checked.message = fault->message;
        runtime::logEvent(runtime::LogEvent::ConfigurationRejected,
                          fault->part + ": " + fault->message);
    }
    postEventAsync(std::move(checked));
}

void FleetTask::perform(const Relay::WritePart &action)
{
    fibers_.start([this, action] {
        const auto result = store_.write(partKey(action.digest),
                                         serialiseConfigurationPart(action.text), std::nullopt);
        // The key is the digest of the content, so an existing object is identical.
        postEvent(Relay::PartWritten {action.digest, !std::holds_alternative<core::Error>(result)});
    });
}

void FleetTask::perform(const Relay::WriteHead &action)
{
    fibers_.start([this, action] {
        const auto result = store_.write(headKey(), config::serialiseConfigurationHead(action.head),
                                         action.expectedVersion);
        Relay::HeadWritten written {action.head.sequence, decisions::HeadWriteOutcome::Unknown, 0};
        if (const auto *applied = std::get_if<platform::WriteApplied>(&result)) {
            written.outcome = decisions::HeadWriteOutcome::Done;
            written.platformVersion = applied->version;
            runtime::logEvent(runtime::LogEvent::ConfigurationAccepted,
                              "version " + std::to_string(action.head.version));
        } else if (std::holds_alternative<platform::WriteConflict>(result)) {
            written.outcome = decisions::HeadWriteOutcome::Conflict;
        }
        postEvent(written);
    });
}

void FleetTask::perform(const Relay::WriteStatus &action)
{
    fibers_.start(
        [this, action] { replaceObject("status/config", config::serialiseStatus(action.status)); });
}

void FleetTask::perform(const ConfigurationSync::CheckLists &action)
{
    ConfigurationSync::CheckFinished finished {action.configuration.head.version, {}};
    auto result = config::checkLists(action.configuration.texts);
    if (const auto *fault = std::get_if<config::ListError>(&result))
        finished.fault = fault->part + ": " + fault->message;
    else
        checked_ = ActiveConfiguration {finished.version,
                                        std::get<decisions::Catalogue>(std::move(result))};
    postEventAsync(std::move(finished));
}

void FleetTask::perform(const ConfigurationSync::ApplyConfiguration &action)
{
    // The state chart applies a version only after its check has passed.
    if (checked_ && checked_->version == action.version) {
        configuration_.set(std::move(*checked_));
        checked_.reset();
        runtime::logEvent(runtime::LogEvent::ConfigurationInEffect,
                          "version " + std::to_string(action.version));
    }
}

void FleetTask::perform(const ConfigurationSync::ReportFault &action)
{
    runtime::logEvent(runtime::LogEvent::ConfigurationRejected,
                      "version " + std::to_string(action.version) + ": " + action.message);
}

void FleetTask::perform(const FreshnessMonitor::StartServing &)
{
    listener_.onFreshnessChanged(true);
}

void FleetTask::perform(const FreshnessMonitor::StopServing &)
{
    listener_.onFreshnessChanged(false);
}

void FleetTask::perform(const FreshnessMonitor::ProbePlatform &)
{
    fibers_.start([this] {
        const core::TimePoint startedAt = clock_.now();
        const bool isReadable = core::isOk(store_.read(headKey()));
        postEvent(FreshnessMonitor::ProbeFinished {isReadable, startedAt});
    });
}

} // namespace boragerack::node
