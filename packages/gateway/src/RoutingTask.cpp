#include "RoutingTask.h"

#include <algorithm>
#include <string>

#include "boragerack/decisions/DeficitRoundRobinPolicy.h"
#include "boragerack/decisions/serving/FleetSize.h"
#include "boragerack/decisions/serving/ReportPace.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::gateway {

namespace {

/// Messages in the mailbox; when it is full, requests are refused as not run.
constexpr std::size_t kMailboxCapacity = 1024;
/// Maximum interval between timer checks. Each check also routes waiting requests for which a
/// target has become available.
constexpr std::chrono::milliseconds kTick(50);
/// Report interval until the coordinator sets another one.
constexpr std::chrono::milliseconds kReportInterval(100);
/// Placements expire if the coordinator has not answered for this long.
constexpr std::chrono::milliseconds kCoordinatorTimeout(1000);
/// If no coordinator has confirmed the members for this long, address answers contain only this
/// node, because the others may have terminated.
constexpr std::chrono::milliseconds kMembersMaxAge(3000);
/// Without a coordinator, a request that waits for tokens is refused after this time.
constexpr std::chrono::milliseconds kMaxTokenWait(250);

std::string describe(const decisions::TargetAdvice &advice)
{
    return " rate=" + decisions::describeRate(advice.requestsPerSecond) + " leaving="
        + (advice.isLeaving ? "yes" : "no") + " pause_ms=" + std::to_string(advice.pause.count());
}

} // namespace

RoutingTask::RoutingTask(const decisions::FleetMember &self, const Limits &limits,
                         const core::Clock &clock, core::RandomSource &random,
                         runtime::Metrics &metrics)
    : self_(self)
    , retryLimits_(limits.retries)
    , clock_(clock)
    , startedAt_(clock.now())
    , metrics_(metrics)
    , router_(random)
    , fairQueue_(std::make_unique<decisions::DeficitRoundRobinPolicy>(), limits.waiting)
    , mailbox_(kMailboxCapacity)
    , lastAnswer_(startedAt_)
{
    queue(decisions::CapacityFreed {limits.activeRequests});
}

RoutingTask::~RoutingTask()
{
    stop();
    if (fiber_.joinable())
        fiber_.join();
}

void RoutingTask::start(SendReport sendReport, OnRelay onRelay)
{
    sendReport_ = std::move(sendReport);
    onRelay_ = std::move(onRelay);
    fiber_ = boost::fibers::fiber([this] { runtime::runTask("routing", [this] { run(); }); });
}

void RoutingTask::stop()
{
    if (!mailbox_.trySend(StopRouting()))
        mailbox_.close();
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
    core::TimePoint nextTick = clock_.now();
    while (isRunning_ && !mailbox_.isClosed()) {
        auto message = mailbox_.receiveUntil(std::chrono::steady_clock::now() + kTick);
        if (message)
            std::visit([this](auto &concrete) { on(concrete); }, *message);
        if (const core::TimePoint now = clock_.now(); now >= nextTick) {
            nextTick = now + kTick;
            tick();
        }
        report();
    }
    // Releases tasks that wait for space in the mailbox.
    mailbox_.close();
}

void RoutingTask::on(RouteRequest &message)
{
    if (message.isRetry && !reserveRetry(message)) {
        message.reply.set(core::makeNotRunError(core::ErrorCode::NoReadyReplica,
                                                "the retry budget of the service is used up"));
        return;
    }
    const RouteRequest &pendingRequest =
        pending_.emplace(message.request, std::move(message)).first->second;
    if (!pendingRequest.isFirst) {
        requestTarget(pendingRequest);
        return;
    }
    retryBudgetFor(pendingRequest.requirements.service).countRequest(clock_.now());
    if (pendingRequest.tokens > 0) {
        tokenLimiter_.countDemand(pendingRequest.organisation, pendingRequest.tokens, clock_.now());
        if (!takeTokens(pendingRequest)) {
            tokenQueue_.push_back(pendingRequest.request);
            updateWaitingTokens();
            hasUrgentReport_ = true;
            return;
        }
    }
    enqueue(pendingRequest);
}

void RoutingTask::route(const decisions::routing::Event &event)
{
    for (const decisions::routing::Granted &granted : router_.handle(event, clock_.now())) {
        const auto position = pending_.find(granted.request);
        if (position == pending_.end())
            continue;
        const RouteRequest &pendingRequest = position->second;
        countLongPrompt(granted);
        grants_[granted.request] = {granted.target, pendingRequest.requirements.service,
                                    pendingRequest.requirements.artifact};
        pendingRequest.reply.set(
            RouteGrant {granted.target, granted.address, granted.startedAt, granted.isRateLimited});
        if (granted.waited.count() > 0)
            metrics_.observe(
                "boragerack_dispatch_wait_seconds",
                runtime::makeLabels({{"service", pendingRequest.requirements.service.value}}),
                granted.waited);
        pending_.erase(position);
    }
    refuseUnservable();
}

void RoutingTask::on(RouteRequestEnded &message)
{
    releaseRetry(message.request);
    if (!message.harmless.empty())
        crashReporter_.handleCompletion(message.harmless, clock_.now());
    if (const auto grant = grants_.find(message.request); grant != grants_.end()) {
        route(decisions::routing::Ended {message.request, grant->second.target,
                                         grant->second.service, grant->second.artifact,
                                         message.outcome, message.isMissing, message.firstPiece});
        grants_.erase(grant);
        releaseQueueSlot(message.request);
        return;
    }
    if (pending_.erase(message.request) == 0)
        return;
    releaseQueueSlot(message.request);
    if (std::erase(tokenQueue_, message.request) > 0) {
        reportedTokenQueueSize_ = std::min(reportedTokenQueueSize_, tokenQueue_.size());
        updateWaitingTokens();
    }
    route(decisions::routing::Withdrawn {message.request});
}

void RoutingTask::on(TargetAdviceReceived &message)
{
    route(decisions::routing::TargetAdvised {message.process, message.advice});
    if (!router_.takeNewAdvice())
        return;
    hasUrgentReport_ = true;
    runtime::logRequestEvent(runtime::LogEvent::TargetAdvised,
                             "target=" + message.process.target.value + describe(message.advice));
}

void RoutingTask::on(RequestFinished &message)
{
    const decisions::TokenAmount returned =
        tokenLimiter_.end(message.request, message.hasRun, clock_.now());
    countTokens("returned", returned.organisation, returned.tokens);
}

void RoutingTask::on(SendPermissionRequest &message)
{
    const auto grant = grants_.find(message.request);
    if (grant == grants_.end()
        || !router_.claimSend(message.request, grant->second.target, clock_.now()))
        message.reply.set(decisions::SendPermission::TargetLeft);
    else
        message.reply.set(commitRetry(message.request) ? decisions::SendPermission::Granted
                                                       : decisions::SendPermission::NoRetryBudget);
}

bool RoutingTask::reserveRetry(const RouteRequest &pendingRequest)
{
    const core::ServiceId &service = pendingRequest.requirements.service;
    const bool isAllowed = retryBudgetFor(service).reserve(clock_.now());
    if (isAllowed)
        reservedRetries_[pendingRequest.request] = service;
    countRetry(service, isAllowed);
    return isAllowed;
}

bool RoutingTask::commitRetry(std::uint64_t request)
{
    const auto position = reservedRetries_.find(request);
    if (position == reservedRetries_.end())
        return true;
    const core::ServiceId service = position->second;
    reservedRetries_.erase(position);
    const bool isAllowed = retryBudgetFor(service).commit(clock_.now());
    if (!isAllowed)
        countRetry(service, false);
    return isAllowed;
}

void RoutingTask::releaseRetry(std::uint64_t request)
{
    if (const auto position = reservedRetries_.find(request); position != reservedRetries_.end()) {
        retryBudgetFor(position->second).release();
        reservedRetries_.erase(position);
    }
}

void RoutingTask::on(RequestCrashReported &message)
{
    crashReporter_.handleCrash(message.attempt, message.suspects, clock_.now());
    hasUrgentReport_ = true;
}

void RoutingTask::on(TargetListChanged &message)
{
    route(decisions::routing::TargetsChanged {message.entries, message.hasReplicas});
    if (router_.takeNewAdvice())
        hasUrgentReport_ = true;
    std::set<core::DataCentreId> evacuated;
    std::int64_t cold = 0;
    for (const auto &[target, entry] : *message.entries) {
        if (entry.isEvacuated)
            evacuated.insert(entry.dataCentre);
        cold += entry.isCold ? 1 : 0;
    }
    metrics_.set("boragerack_evacuated_data_centres", "",
                 static_cast<std::int64_t>(evacuated.size()));
    metrics_.set("boragerack_cold_targets", "", cold);
    if (!evacuated.empty())
        refuseEvacuated();
}

void RoutingTask::on(ConfigurationChanged &message)
{
    decisions::NodeTokenLimiter::Limits limits;
    for (const auto &organisation : message.table->configuration().organisations)
        limits[organisation.organisation] = organisation.limit;
    tokenLimiter_.setLimits(limits);
    std::map<core::ServiceId, double> coldRates;
    for (const decisions::ServingService &service : message.table->configuration().services) {
        if (service.coldRequestsPerSecond)
            coldRates[service.service] = *service.coldRequestsPerSecond;
    }
    route(decisions::routing::ColdRatesChanged {std::move(coldRates)});
    route(decisions::routing::InteractiveServicesChanged {
        decisions::findInteractiveServices(message.table->configuration())});
}

void RoutingTask::on(StopAnnounced &)
{
    isStopping_ = true;
    hasUrgentReport_ = true;
}

void RoutingTask::on(StopRouting &)
{
    isRunning_ = false;
}

void RoutingTask::on(ReportAnswered &message)
{
    isReporting_ = false;
    setNodes(message.nodes);
    if (!message.answer || message.answer->standing == decisions::CoordinatorStanding::Absent
        || message.answer->standing == decisions::CoordinatorStanding::Unreachable) {
        nextReport_ = clock_.now() + kReportInterval;
        return;
    }
    adopt(message, *message.answer);
}

void RoutingTask::adopt(const ReportAnswered &message, const decisions::CoordinationAnswer &answer)
{
    const core::TimePoint now = clock_.now();
    lastAnswer_ = now;
    nextReport_ = now + answer.reportAfter;
    reportInterval_ = answer.reportAfter;
    decisions::AnswerContent content =
        follower_.examine(answer, message.update, message.reportedAt);
    const bool areTargetsAdopted = relay(message, answer, std::move(content.targets));
    tokenLimiter_.stopAccruing();
    for (const decisions::TokenAmount &grant : answer.granted) {
        tokenLimiter_.credit(grant);
        countTokens("granted", grant.organisation, grant.tokens);
    }
    serveTokenQueue(true);
    // An answer that names a relay has no state, so the rates are reported again to the relay.
    if (answer.change)
        route(decisions::routing::PermitsGranted {answer.permits});
    if (content.hasState)
        applyUpdate(message.update, areTargetsAdopted);
    else if (answer.change)
        requestCompleteUpdate(message.update);
    // Without state, the term is that of an earlier answer.
    if (answer.change) {
        handleCrashesAccepted(message.update.versions.term);
        adoptRefusals(answer, message.update.versions.term);
    }
    if (answer.loads && message.update.loads)
        route(decisions::routing::LoadsReported {*message.update.loads, message.hadUses});
}

void RoutingTask::requestCompleteUpdate(const decisions::FleetUpdate &update)
{
    hasUrgentReport_ = true;
    runtime::logEvent(runtime::LogEvent::FleetUpdateIgnored,
                      "term=" + std::to_string(update.versions.term)
                          + " since_placements=" + std::to_string(update.since.placements)
                          + " known_placements=" + std::to_string(follower_.known().placements));
}

void RoutingTask::applyUpdate(const decisions::FleetUpdate &update, bool areTargetsAdopted)
{
    if (update.versions.term != follower_.known().term) {
        route(decisions::routing::PlacementsOutdated());
        route(decisions::routing::CoordinatorChanged());
        runtime::logEvent(runtime::LogEvent::CoordinatorFollowed,
                          "term=" + std::to_string(update.versions.term));
    }
    if (update.members) {
        FleetView view = *fleet_.get();
        view.members = *update.members;
        view.isStale = false;
        setNodes(update.members->size());
        fleet_.set(std::move(view));
    }
    if (update.rates)
        route(decisions::routing::RatesDistributed {*update.rates});
    if (update.versions.placements != update.since.placements)
        route(decisions::routing::PlacementsChanged {update.placements});
    updateLongPromptTargets();
    follower_.adopt(update, areTargetsAdopted);
}

bool RoutingTask::relay(const ReportAnswered &message, const decisions::CoordinationAnswer &answer,
                        std::optional<decisions::targets::Relayed> targets)
{
    if (message.isLocal || answer.standing != decisions::CoordinatorStanding::Holding)
        return false;
    const bool hasTargets = targets.has_value();
    // The ages are relative to the answer. The time of the report is earlier, so the result is
    // never too recent.
    Relay relay {answer.platformReadStatus.configurationVersion,
                 message.reportedAt - answer.platformReadStatus.configurationAge,
                 answer.configuration, std::move(targets)};
    return onRelay_(std::move(relay)) && hasTargets;
}

void RoutingTask::setNodes(std::size_t nodes)
{
    peakNodes_ = std::max(peakNodes_, static_cast<std::uint32_t>(nodes));
    for (auto &[service, budget] : retries_)
        budget.setNodes(peakNodes_);
}

void RoutingTask::handleCoordinatorTimeout()
{
    follower_.reset();
    runtime::logEvent(runtime::LogEvent::CoordinatorLost, "reason=no_answer");
    route(decisions::routing::PlacementsOutdated());
    updateLongPromptTargets();
}

void RoutingTask::tick()
{
    const core::TimePoint now = clock_.now();
    if (now - lastAnswer_ > kMembersMaxAge && !fleet_.get()->isStale) {
        FleetView view = *fleet_.get();
        view.isStale = true;
        fleet_.set(std::move(view));
    }
    if (now - lastAnswer_ > kCoordinatorTimeout) {
        if (follower_.known().term != 0)
            handleCoordinatorTimeout();
        tokenLimiter_.accrue(now, nodeCount());
        route(decisions::routing::CoordinatorAbsent {rank(), nodeCount()});
        serveTokenQueue(false);
        if (!tokenQueue_.empty() && now - lastReport_ > kMaxTokenWait) {
            reportedTokenQueueSize_ = tokenQueue_.size();
            serveTokenQueue(true);
        }
    }
    queue(decisions::QueueTimer());
    route(decisions::routing::Tick());
    metrics_.set("boragerack_dispatch_waiting", "",
                 static_cast<std::int64_t>(router_.waitingForRoom()));
}

void RoutingTask::report()
{
    const core::TimePoint now = clock_.now();
    const bool isDue = now >= nextReport_
        || (hasUrgentReport_ && now - lastReport_ >= decisions::urgentReportGap(reportInterval_));
    if (isReporting_ || !isDue)
        return;
    isReporting_ = true;
    hasUrgentReport_ = false;
    lastReport_ = now;
    nextReport_ = now + kReportInterval;
    reportedTokenQueueSize_ = tokenQueue_.size();
    decisions::CoordinationReport report;
    report.member = self_;
    report.isStopping = isStopping_;
    report.known = follower_.known();
    report.demands = router_.takeDemands(now);
    report.uses = router_.uses();
    report.wanted = tokenLimiter_.wanted(now);
    report.permits = router_.takePermitRequests(now);
    report.rates = router_.takeRateObservations(now);
    reportCrashes(report);
    // The next report would wait for the answer to one that was not sent.
    isReporting_ = sendReport_(std::move(report));
}

std::uint32_t RoutingTask::nodeCount() const
{
    return peakNodes_ == 0 ? decisions::kAssumedNodes : peakNodes_;
}

std::uint32_t RoutingTask::rank() const
{
    const auto fleet = fleet_.get();
    return static_cast<std::uint32_t>(
        std::ranges::count_if(fleet->members, [this](const decisions::FleetMember &member) {
            return member.instance < self_.instance;
        }));
}

decisions::RetryBudget &RoutingTask::retryBudgetFor(const core::ServiceId &service)
{
    const auto [position, isNew] = retries_.try_emplace(service, retryLimits_, startedAt_);
    if (isNew)
        position->second.setNodes(peakNodes_);
    return position->second;
}

} // namespace boragerack::gateway
