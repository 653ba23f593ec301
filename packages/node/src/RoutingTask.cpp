#include "RoutingTask.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "EvacuatedTargets.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::node {

namespace {

constexpr std::size_t kMailboxCapacity = 8192;
/// Time for which a replica reported as not loaded is excluded, until the records are corrected.
constexpr std::chrono::seconds kMissingDuration(2);
constexpr std::chrono::seconds kRetryAfter(1);
/// A return of the data centre takes effect within 5 s, so earlier retries would be refused as
/// well.
constexpr std::chrono::seconds kEvacuatedRetryAfter(5);
constexpr std::chrono::milliseconds kCancelTimeout(500);
constexpr std::chrono::milliseconds kColdStartRetryDelay(200);

} // namespace

RoutingTask::RoutingTask(const NodeIdentity &identity, const runtime::Published<TargetTable> &table,
                         PlacementTask &placement, runtime::HttpClient &client,
                         core::RandomSource &random, const core::Clock &clock,
                         runtime::Metrics &metrics)
    : identity_(identity)
    , table_(table)
    , placement_(placement)
    , client_(client)
    , clock_(clock)
    , metrics_(metrics)
    , selector_(random)
    , mailbox_(kMailboxCapacity)
{
}

void RoutingTask::start(const runtime::Published<MembershipSnapshot> &members,
                        const runtime::Published<ActiveConfiguration> &configuration)
{
    members_ = &members;
    configuration_ = &configuration;
    fibers_.start([this] { runtime::runTask("routing", [this] { run(); }); });
}

void RoutingTask::stop()
{
    static_cast<void>(mailbox_.send(StopRouting()));
}

bool RoutingTask::trySend(RoutingMessage message)
{
    return mailbox_.trySend(std::move(message));
}

bool RoutingTask::send(RoutingMessage message)
{
    return mailbox_.send(std::move(message));
}

void RoutingTask::run()
{
    while (isRunning_) {
        if (auto message = mailbox_.receive())
            std::visit([this](const auto &body) { on(body); }, *message);
    }
    mailbox_.close();
}

void RoutingTask::on(const SelectTarget &message)
{
    accruePermits();
    auto replicas = makeReplicas(message.destination);
    // If the replicas of a model are unreachable, the planner can load another one; it knows which
    // targets are reachable.
    if (std::holds_alternative<decisions::Artifact>(message.destination))
        std::erase_if(replicas, [](const decisions::ReplicaCandidate &replica) {
            return replica.isUnreachable;
        });
    if (const auto target = selector_.choose(replicas, message.avoid)) {
        replyWithTarget(message, *target);
    } else if (const auto *artifact = std::get_if<decisions::Artifact>(&message.destination)) {
        requestColdStart(message, *artifact);
    } else {
        refuse(message, std::get<core::ServiceId>(message.destination));
    }
}

void RoutingTask::refuse(const SelectTarget &request, const core::ServiceId &service) const
{
    const auto targets = findServiceTargets(*table_.get(), service);
    const bool areAllEvacuated =
        !targets.empty() && std::ranges::all_of(targets, [this](const core::TargetId &target) {
            return isEvacuated(target);
        });
    request.reply.set(areAllEvacuated
                          ? core::makeNotRunError(core::ErrorCode::NoReadyReplica,
                                                  "all targets of the service are evacuated",
                                                  kEvacuatedRetryAfter)
                          : core::makeNotRunError(core::ErrorCode::NoReadyReplica,
                                                  "no target of the service is available",
                                                  kRetryAfter));
}

void RoutingTask::on(const ConfirmTarget &message)
{
    const bool isClosed =
        closures_.isClosed({message.target}, clock_.now()) || isEvacuated(message.target);
    message.reply.set(isClosed ? decisions::SendPermission::TargetLeft
                               : sendPermission(*table_.get(), message.target));
}

bool RoutingTask::isEvacuated(const core::TargetId &target) const
{
    return node::isEvacuated(*configuration_->get(), *table_.get(), target);
}

bool RoutingTask::isAccepting(const core::TargetId &target) const
{
    const core::TimePoint now = clock_.now();
    const decisions::TargetProcess process {target};
    return !closures_.isClosed(process, now)
        && (!rates_.rateOf(process) || rates_.hasPermit(process, now));
}

void RoutingTask::accruePermits()
{
    const auto &members = members_->get()->members;
    const auto rank = std::ranges::count_if(members, [this](const Member &member) {
        return member.record.instance < identity_.instance;
    });
    rates_.accrue(clock_.now(), static_cast<std::uint32_t>(rank),
                  static_cast<std::uint32_t>(members.size()));
}

std::vector<decisions::ReplicaCandidate>
RoutingTask::makeReplicas(const Destination &destination) const
{
    const auto table = table_.get();
    const core::TimePoint now = clock_.now();
    std::vector<core::TargetId> targets;
    if (const auto *service = std::get_if<core::ServiceId>(&destination)) {
        targets = findServiceTargets(*table, *service);
    } else if (const auto found = table->ready.find(std::get<decisions::Artifact>(destination));
               found != table->ready.end()) {
        for (const core::TargetId &target : found->second) {
            const auto missing = missing_.find({target, found->first});
            if (missing == missing_.end() || missing->second.until < now)
                targets.push_back(target);
        }
    }
    std::vector<decisions::ReplicaCandidate> replicas;
    std::erase_if(targets, [this](const core::TargetId &target) { return !isAccepting(target); });
    for (const core::TargetId &target : targets) {
        decisions::ReplicaCandidate replica;
        replica.target = target;
        if (const auto count = outstanding_.find(target); count != outstanding_.end())
            replica.outstanding = count->second;
        replica.isLeaving = table->targets.at(target).state == platform::InstanceState::Leaving;
        replica.isEvacuated = isEvacuated(target);
        replica.isUnreachable = health_.isUnreachable(target, now);
        replicas.push_back(replica);
    }
    return replicas;
}

void RoutingTask::replyWithTarget(const SelectTarget &request, const core::TargetId &target)
{
    const auto table = table_.get();
    const auto found = table->targets.find(target);
    if (found == table->targets.end()) {
        request.reply.set(
            core::makeNotRunError(core::ErrorCode::NoReadyReplica, "target has left", kRetryAfter));
        return;
    }
    const bool isRateLimited = rates_.rateOf({target}).has_value();
    rates_.take({target}, clock_.now());
    ++outstanding_[target];
    if (const auto *artifact = std::get_if<decisions::Artifact>(&request.destination))
        ++inFlight_[{target, *artifact}];
    reportUse(request.destination, target);
    request.reply.set(SelectedTarget {target, found->second.address, isRateLimited});
}

void RoutingTask::requestColdStart(const SelectTarget &request, const decisions::Artifact &artifact)
{
    RequestColdStart message {artifact, request.deadline, {}};
    if (!placement_.trySend(message)) {
        request.reply.set(core::makeNotRunError(
            core::ErrorCode::QueueFull, "too many requests wait for replicas", kRetryAfter));
        return;
    }
    fibers_.start([this, request, reply = message.reply, startedAt = clock_.now()] {
        auto outcome = reply.waitUntil(request.deadline);
        ColdStartFinished finished {
            request,
            core::makeNotRunError(core::ErrorCode::DeadlineExceeded,
                                  "no replica was ready before the deadline", kRetryAfter),
            startedAt};
        if (outcome)
            finished.outcome = std::move(*outcome);
        static_cast<void>(mailbox_.send(std::move(finished)));
    });
}

void RoutingTask::on(const CancelAttempt &message)
{
    fibers_.start([this, message] {
        const std::string body =
            "{\"attempt\":\"" + decisions::formatAttemptId(message.attempt) + "\"}";
        client_.call(message.address,
                     {"POST", "/control/cancel", {{"Content-Type", "application/json"}}, body},
                     clock_.now() + kCancelTimeout);
    });
}

void RoutingTask::on(const ColdStartFinished &message)
{
    const SelectTarget &request = message.request;
    if (const auto *artifact = std::get_if<decisions::Artifact>(&request.destination)) {
        metrics_.observe("boragerack_cold_start_seconds",
                         runtime::makeLabels({{"model", artifact->model.value}}),
                         clock_.now() - message.startedAt);
    }
    if (!core::isOk(message.outcome)) {
        request.reply.set(core::errorOf(message.outcome));
        return;
    }
    const core::TargetId &target = core::valueOf(message.outcome);
    const bool isLastTry = clock_.now() + kColdStartRetryDelay >= request.deadline;
    accruePermits();
    if (isAccepting(target) && !isEvacuated(target)
        && (isLastTry || !health_.isUnreachable(target, clock_.now()))) {
        replyWithTarget(request, target);
        return;
    }
    if (isLastTry) {
        request.reply.set(core::makeNotRunError(core::ErrorCode::NoReadyReplica,
                                                "no target accepts the request before its deadline",
                                                kRetryAfter));
        return;
    }
    // The planner has not yet detected that the target is unreachable, or does not know of the
    // evacuation; its next reports or the configuration will show it. Permits of a target that
    // limits its rate accrue.
    fibers_.start([this, request] {
        boost::this_fiber::sleep_for(kColdStartRetryDelay);
        static_cast<void>(mailbox_.send(request));
    });
}

void RoutingTask::on(const TargetReleased &message)
{
    if (const auto count = outstanding_.find(message.target);
        count != outstanding_.end() && --count->second == 0)
        outstanding_.erase(count);
    if (const auto *artifact = std::get_if<decisions::Artifact>(&message.destination)) {
        const auto use = inFlight_.find({message.target, *artifact});
        if (use != inFlight_.end())
            --use->second;
        reportUse(message.destination, message.target);
        if (use != inFlight_.end() && use->second == 0)
            inFlight_.erase(use);
    }
}

void RoutingTask::reportUse(const Destination &destination, const core::TargetId &target)
{
    const auto *artifact = std::get_if<decisions::Artifact>(&destination);
    if (!artifact)
        return;
    const auto use = inFlight_.find({target, *artifact});
    const std::uint32_t count = use == inFlight_.end() ? 0 : use->second;
    static_cast<void>(
        placement_.trySend(decisions::ReplicaUsed {identity_.instance, *artifact, target, count}));
}

void RoutingTask::on(const TargetAdviceReceived &message)
{
    const auto table = table_.get();
    const auto isListed = [&](const decisions::TargetProcess &process) {
        return table->targets.contains(process.target);
    };
    closures_.retain(isListed);
    rates_.retain(isListed);
    const core::TimePoint now = clock_.now();
    const bool isNewlyClosed = closures_.record({message.target}, message.advice, now);
    if (!rates_.record({message.target}, message.advice.requestsPerSecond, now) && !isNewlyClosed)
        return;
    runtime::logEvent(runtime::LogEvent::TargetAdvised,
                      "target=" + message.target.value
                          + " rate=" + decisions::describeRate(message.advice.requestsPerSecond)
                          + " pause_ms=" + std::to_string(message.advice.pause.count()));
}

void RoutingTask::on(const TargetUnreachable &message)
{
    health_.handle(decisions::health::Unreachable {message.target}, clock_.now());
    static_cast<void>(placement_.trySend(decisions::TargetReachable {message.target, false}));
    runtime::logEvent(runtime::LogEvent::ConnectionSilent, message.target.value);
}

void RoutingTask::on(const ReplicaNotLoaded &message)
{
    missing_[{message.target, message.artifact}] = MissingReplica {clock_.now() + kMissingDuration};
}

void RoutingTask::on(const StopRouting &)
{
    isRunning_ = false;
}

} // namespace boragerack::node
