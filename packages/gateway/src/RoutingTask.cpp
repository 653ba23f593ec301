#include "RoutingTask.h"

#include <algorithm>

#include "boragerack/decisions/DeficitRoundRobinPolicy.h"
#include "boragerack/decisions/serving/FleetSize.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

/// Requests that may wait in the mailbox; a full one refuses requests as not run.
constexpr std::size_t kMailboxCapacity = 1024;
/// The longest pause of the task; requests that lost their target are looked at again then.
constexpr std::chrono::milliseconds kTick(50);
/// Reports follow each other at least this far apart, also with urgent news.
constexpr std::chrono::milliseconds kReportPause(15);
/// In a large fleet early reports are further apart by so much for each node beyond a small one, so
/// that the coordinator can follow.
constexpr std::chrono::microseconds kReportPausePerNode(6000);
/// Without news a node reports this often until the coordinator sets another interval.
constexpr std::chrono::milliseconds kReportInterval(100);
/// Placements of a coordinator that has been silent for this long are not trusted any more.
constexpr std::chrono::milliseconds kCoordinatorLost(1000);
/// Callers are told only of this node when no coordinator has confirmed the others for this long,
/// because some of them may have ended.
constexpr std::chrono::milliseconds kMembersTrust(3000);
/// Number of nodes among which limits of organisations are divided before a coordinator or its
/// lease has told. It is large, since all nodes may have restarted at once.
constexpr std::uint32_t kAssumedNodes = 128;
/// Without a coordinator, a request that waits for tokens is refused after this time.
constexpr std::chrono::milliseconds kTokenWait(250);

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
    fiber_ = boost::fibers::fiber([this] { run(); });
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
}

void RoutingTask::on(RouteRequest &message)
{
    const RouteRequest &ask = asks_.emplace(message.request, std::move(message)).first->second;
    if (!ask.isFirst) {
        passOn(ask);
        return;
    }
    retriesTo(ask.demand.service).countRequest(clock_.now());
    if (ask.tokens > 0) {
        wallet_.countDemand(ask.organisation, ask.tokens, clock_.now());
        if (!wallet_.take(ask.organisation, ask.tokens)) {
            tokenQueue_.push_back(ask.request);
            noteTokenQueue();
            hasUrgentNews_ = true;
            return;
        }
    }
    enqueue(ask);
}

void RoutingTask::route(const decisions::routing::Event &event)
{
    for (const decisions::routing::Granted &granted : router_.handle(event, clock_.now())) {
        const auto position = asks_.find(granted.request);
        if (position == asks_.end())
            continue;
        const RouteRequest &ask = position->second;
        grants_[granted.request] = {granted.target, ask.demand.service, ask.demand.artifact};
        ask.reply.set(RouteGrant {granted.target, granted.address});
        asks_.erase(position);
    }
}

void RoutingTask::on(RouteRequestEnded &message)
{
    if (const auto grant = grants_.find(message.request); grant != grants_.end()) {
        route(decisions::routing::Ended {grant->second.target, grant->second.service,
                                         grant->second.artifact, message.outcome,
                                         message.isMissing});
        grants_.erase(grant);
        leaveQueue(message.request);
        return;
    }
    if (asks_.erase(message.request) == 0)
        return;
    leaveQueue(message.request);
    if (std::erase(tokenQueue_, message.request) > 0) {
        reportedTokenQueue_ = std::min(reportedTokenQueue_, tokenQueue_.size());
        noteTokenQueue();
    }
    route(decisions::routing::Withdrawn {message.request});
}

void RoutingTask::on(TokensReturned &message)
{
    wallet_.giveBack(message.organisation, message.tokens);
}

void RoutingTask::on(RetryRequest &message)
{
    const bool isAllowed = retriesTo(message.service).take(clock_.now());
    metrics_.add("boragerack_retries_total",
                 runtime::makeLabels(
                     {{"service", message.service.value}, {"allowed", isAllowed ? "yes" : "no"}}));
    message.reply.set(isAllowed);
}

void RoutingTask::on(RequestCrashReported &message)
{
    deaths_.push_back(std::move(message.death));
    hasUrgentNews_ = true;
}

void RoutingTask::on(TargetListChanged &message)
{
    route(decisions::routing::TargetsChanged {message.entries, message.hasReplicas});
}

void RoutingTask::on(ConfigurationChanged &message)
{
    decisions::NodeTokenLimiter::Limits limits;
    for (const auto &organisation : message.table->configuration().organisations)
        limits[organisation.organisation] = organisation.limit;
    wallet_.setLimits(limits);
}

void RoutingTask::on(StopAnnounced &)
{
    isStopping_ = true;
    hasUrgentNews_ = true;
}

void RoutingTask::on(StopRouting &)
{
    isRunning_ = false;
}

void RoutingTask::on(ReportAnswered &message)
{
    isReporting_ = false;
    setNodes(message.nodes);
    if (!message.answer || message.answer->standing == decisions::CoordinatorStanding::Absent) {
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
    loadsEvery_ = decisions::isLargeFleet(nodeCount()) ? answer.reportAfter / 2
                                                       : std::chrono::milliseconds(0);
    if (answer.term != term_) {
        term_ = answer.term;
        membersVersion_ = 0;
        placementVersion_ = 0;
        targetsVersion_ = 0;
        route(decisions::routing::PlacementsOutdated());
        runtime::logEvent(runtime::LogEvent::CoordinatorFollowed,
                          "term=" + std::to_string(answer.term));
    }
    relay(message, answer);
    wallet_.stopAccruing();
    for (const decisions::TokenAmount &grant : answer.granted)
        wallet_.credit(grant);
    serveTokenQueue(true);
    if (answer.membersVersion != membersVersion_ || !answer.quarantined.empty()) {
        FleetView view = *fleet_.get();
        if (answer.membersVersion != membersVersion_) {
            view.members = answer.members;
            view.isStale = false;
            setNodes(answer.members.size());
        }
        view.quarantined = {answer.quarantined.begin(), answer.quarantined.end()};
        fleet_.set(std::move(view));
        membersVersion_ = answer.membersVersion;
    }
    if (answer.loads)
        route(decisions::routing::LoadsReported {*answer.loads});
    if (answer.placementVersion != placementVersion_) {
        placementVersion_ = answer.placementVersion;
        route(decisions::routing::PlacementsChanged {answer.placements});
    }
}

void RoutingTask::relay(const ReportAnswered &message, const decisions::CoordinationAnswer &answer)
{
    if (message.isLocal || answer.standing != decisions::CoordinatorStanding::Holding)
        return;
    // The ages count from the answer; the time of the report is earlier, which is on the safe side.
    Relay relay {answer.platformReadStatus.configurationVersion,
                 message.reportedAt - answer.platformReadStatus.configurationAge,
                 answer.configuration, message.reportedAt - answer.platformReadStatus.targetsAge,
                 std::nullopt};
    if (answer.targetsVersion != targetsVersion_) {
        relay.targets = answer.targets;
        targetsVersion_ = answer.targetsVersion;
    }
    onRelay_(std::move(relay));
}

void RoutingTask::setNodes(std::size_t nodes)
{
    mostNodes_ = std::max(mostNodes_, static_cast<std::uint32_t>(nodes));
    for (auto &[service, allowance] : retries_)
        allowance.setNodes(mostNodes_);
}

void RoutingTask::loseCoordinator()
{
    term_ = 0;
    membersVersion_ = 0;
    placementVersion_ = 0;
    targetsVersion_ = 0;
    runtime::logEvent(runtime::LogEvent::CoordinatorLost, "reason=no_answer");
    route(decisions::routing::PlacementsOutdated());
}

void RoutingTask::tick()
{
    const core::TimePoint now = clock_.now();
    if (now - lastAnswer_ > kMembersTrust && !fleet_.get()->isStale) {
        FleetView view = *fleet_.get();
        view.isStale = true;
        fleet_.set(std::move(view));
    }
    if (now - lastAnswer_ > kCoordinatorLost) {
        if (term_ != 0)
            loseCoordinator();
        wallet_.accrue(now, nodeCount());
        serveTokenQueue(false);
        if (!tokenQueue_.empty() && now - lastReport_ > kTokenWait) {
            reportedTokenQueue_ = tokenQueue_.size();
            serveTokenQueue(true);
        }
    }
    queue(decisions::QueueTimer());
    route(decisions::routing::Tick());
}

void RoutingTask::report()
{
    const core::TimePoint now = clock_.now();
    const bool isDue = now >= nextReport_ || (hasUrgentNews_ && now - lastReport_ >= reportPause());
    if (isReporting_ || !isDue)
        return;
    isReporting_ = true;
    hasUrgentNews_ = false;
    lastReport_ = now;
    nextReport_ = now + kReportInterval;
    reportedTokenQueue_ = tokenQueue_.size();
    decisions::CoordinationReport report;
    report.member = self_;
    report.isStopping = isStopping_;
    report.term = term_;
    report.wantsLoads = now - loadsAt_ >= loadsEvery_;
    if (report.wantsLoads)
        loadsAt_ = now;
    report.membersVersion = membersVersion_;
    report.placementVersion = placementVersion_;
    report.targetsVersion = targetsVersion_;
    report.demands = router_.takeDemands(now);
    report.uses = router_.uses();
    report.wanted = wallet_.wanted(now);
    report.deaths = std::exchange(deaths_, {});
    sendReport_(std::move(report));
}

core::Duration RoutingTask::reportPause() const
{
    const std::uint32_t further =
        std::max(nodeCount(), decisions::kSmallFleetNodes) - decisions::kSmallFleetNodes;
    return kReportPause + kReportPausePerNode * further;
}

std::uint32_t RoutingTask::nodeCount() const
{
    return mostNodes_ == 0 ? kAssumedNodes : mostNodes_;
}

decisions::RetryBudget &RoutingTask::retriesTo(const core::ServiceId &service)
{
    const auto [position, isNew] = retries_.try_emplace(service, retryLimits_, startedAt_);
    if (isNew)
        position->second.setNodes(mostNodes_);
    return position->second;
}

} // namespace boragerack::gateway
