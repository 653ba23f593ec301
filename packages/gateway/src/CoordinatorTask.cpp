#include "CoordinatorTask.h"

#include <algorithm>
#include <string>

#include "boragerack/decisions/serving/FleetSize.h"
#include "boragerack/decisions/serving/ReportPace.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::gateway {

namespace {

namespace swap = decisions::swap;

constexpr std::size_t kMailboxCapacity = 1024;
/// Interval at which the timers of the planner are checked.
constexpr std::chrono::milliseconds kTick(25);
/// Timeout of a target report. A coordinator of many targets needs seconds to read all of them.
constexpr std::chrono::milliseconds kReportTimeout(1500);
/// Timeout of an order. The lease allows an order only if this time ends before the lease expires.
constexpr std::chrono::milliseconds kOrderTimeout = decisions::LeaseTimes().orderTimeout;
/// Interval at which the sums of requests in flight are computed for the answers.
constexpr std::chrono::milliseconds kLoadsInterval(50);
/// When a request, or a part of a prompt, is refused on all nodes.
constexpr decisions::QuarantineLimits kQuarantineLimits {
    .maxCrashes = 3, .minTargets = 2, .handoverDelay = std::chrono::seconds(1)};

std::string describe(const decisions::Artifact &artifact)
{
    return artifact.model.value + (artifact.isAdapter() ? "/" + artifact.adapter.value : "");
}

std::string_view nameOf(swap::OrderOutcome outcome)
{
    switch (outcome) {
    case swap::OrderOutcome::Accepted:
        return "accepted";
    case swap::OrderOutcome::AlreadyHeld:
        return "already_held";
    case swap::OrderOutcome::Conflict:
        return "conflict";
    case swap::OrderOutcome::Rejected:
        return "rejected";
    case swap::OrderOutcome::NotSent:
        return "not_sent";
    case swap::OrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

CoordinatorTask::CoordinatorTask(const core::InstanceId &self, const LeaseTask &lease,
                                 const ConfigurationTask &configuration, TargetControl &control,
                                 std::shared_ptr<const decisions::TargetOrderBinding> chart,
                                 std::int64_t quotaTolerance, const core::Clock &clock,
                                 runtime::Metrics &metrics)
    : self_(self)
    , lease_(lease)
    , configuration_(configuration)
    , control_(control)
    , chart_(std::move(chart))
    , quotaTolerance_(quotaTolerance)
    , clock_(clock)
    , metrics_(metrics)
    , mailbox_(kMailboxCapacity)
{
}

CoordinatorTask::~CoordinatorTask()
{
    stop();
    if (fiber_.joinable())
        fiber_.join();
}

void CoordinatorTask::start(const runtime::Published<FleetView> &fleet)
{
    fleet_ = &fleet;
    fiber_ = boost::fibers::fiber([this] { runtime::runTask("coordinator", [this] { run(); }); });
}

void CoordinatorTask::stop()
{
    if (!mailbox_.trySend(StopCoordinating()))
        mailbox_.close();
}

bool CoordinatorTask::trySend(CoordinatorMessage message)
{
    return mailbox_.trySend(std::move(message));
}

bool CoordinatorTask::send(CoordinatorMessage message)
{
    return mailbox_.send(std::move(message));
}

void CoordinatorTask::run()
{
    while (isRunning_ && !mailbox_.isClosed()) {
        auto message = mailbox_.receiveUntil(std::chrono::steady_clock::now() + kTick);
        if (const core::TimePoint now = clock_.now(); now >= nextLeaseCheck_) {
            nextLeaseCheck_ = now + kTick;
            updateTerm();
        }
        if (message)
            std::visit([this](auto &concrete) { on(concrete); }, *message);
        else if (term_)
            plan(swap::Tick());
    }
    // Releases calls that wait for space in the mailbox.
    mailbox_.close();
}

void CoordinatorTask::updateTerm()
{
    const std::uint64_t fence = lease_.lease().fence();
    if ((term_ ? term_->fence : 0) != fence) {
        term_.reset();
        if (fence != 0) {
            term_ = std::make_unique<Term>(Term {fence,
                                                 decisions::SwapPlanner(chart_),
                                                 decisions::FleetTokenLimiter(quotaTolerance_),
                                                 {},
                                                 {},
                                                 decisions::Quarantine(kQuarantineLimits),
                                                 false,
                                                 decisions::FleetState(fence),
                                                 0,
                                                 0,
                                                 0,
                                                 {},
                                                 {}});
            term_->members.seed(knownNodes(), clock_.now());
            applyConfiguration();
            applyTargets();
        }
    }
    if (!term_)
        return;
    if (const bool mayOrder = lease_.mayOrder(); mayOrder != term_->mayOrder) {
        term_->mayOrder = mayOrder;
        plan(swap::OrdersAllowed {mayOrder});
    }
    for (const core::InstanceId &node : term_->members.expire(clock_.now())) {
        runtime::logEvent(runtime::LogEvent::MemberLost, "instance=" + node.value);
        term_->tree.remove(node);
        plan(swap::NodeLeft {node});
    }
    const double liveShare = term_->members.liveShare(clock_.now());
    term_->tokenLimiter.setRateFraction(liveShare, clock_.now());
    term_->permitIssuer.setRateFraction(liveShare, clock_.now());
}

std::vector<decisions::FleetMember> CoordinatorTask::knownNodes() const
{
    // Nodes that have not been confirmed for some seconds, and a coordinator that did not renew its
    // lease, may have terminated.
    const auto fleet = fleet_->get();
    if (fleet->isStale)
        return {};
    std::vector<decisions::FleetMember> nodes = fleet->members;
    const auto &lapsed = lease_.lease().lapsedHolder();
    std::erase_if(nodes, [&](const decisions::FleetMember &node) {
        return lapsed && node.instance == *lapsed;
    });
    return nodes;
}

void CoordinatorTask::applyConfiguration()
{
    if (!table_ || !term_)
        return;
    const decisions::ServingConfiguration &configuration = table_->configuration();
    decisions::FleetTokenLimiter::Limits limits;
    for (const auto &organisation : configuration.organisations)
        limits[organisation.organisation] = organisation.limit;
    term_->tokenLimiter.setLimits(limits, clock_.now());
    plan(swap::ServicesChanged {configuration.services});
}

void CoordinatorTask::applyTargets()
{
    const TargetEntriesPointer &entries = targets_.entries();
    if (!entries || !term_)
        return;
    plan(swap::TargetsChanged {entries});
    term_->permitIssuer.retain([&entries](const decisions::TargetProcess &process) {
        return decisions::isListed(*entries, process);
    });
    term_->state.setTargets(targets_.withoutReplicas());
}

void CoordinatorTask::updateState()
{
    Term &term = *term_;
    if (const std::uint64_t version = term.members.version(); version != term.membersVersion) {
        term.membersVersion = version;
        term.state.setMembers(term.members.members());
    }
    if (const std::uint64_t version = term.planner.placementVersion();
        version != term.placementVersion) {
        term.state.updatePlacements(version, term.planner.placementsSince(term.placementVersion));
        term.placementVersion = version;
    }
    if (const std::uint64_t version = term.permitIssuer.version(); version != term.ratesVersion) {
        term.ratesVersion = version;
        const auto rates = term.permitIssuer.rates();
        term.state.setRates(rates);
        plan(swap::RatesChanged {rates});
    }
    if (const core::TimePoint now = clock_.now(); now - term.loadsAt >= kLoadsInterval) {
        term.loadsAt = now;
        term.state.setLoads(term.planner.loads());
    }
}

decisions::PlatformReadStatus CoordinatorTask::makePlatformReadStatus() const
{
    // An age that every node treats as expired.
    const std::chrono::milliseconds kUnknown = std::chrono::hours(1);
    const core::TimePoint now = clock_.now();
    const auto ageOf = [now, kUnknown](core::TimePoint time) {
        return std::min(kUnknown, std::chrono::ceil<std::chrono::milliseconds>(now - time));
    };
    const auto provenAt = configuration_.provenAt();
    const RouteTablePointer table = configuration_.table();
    return {table ? table->configuration().version : 0, provenAt ? ageOf(*provenAt) : kUnknown,
            std::min(kUnknown, targets_.age(now).value_or(kUnknown))};
}

void CoordinatorTask::plan(const swap::Event &event)
{
    for (const swap::Action &action : term_->planner.handle(event, clock_.now()))
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
    for (const decisions::LongPromptChoice &choice : term_->planner.takeLongPromptChoices()) {
        std::string targets;
        for (const core::TargetId &target : choice.targets)
            targets += (targets.empty() ? "" : ",") + target.value;
        runtime::logEvent(runtime::LogEvent::LongPromptTargetsChanged,
                          "model=" + choice.model.value + " targets=" + targets);
    }
}

void CoordinatorTask::on(ReportReceived &message)
{
    decisions::CoordinationAnswer answer;
    answer.holder = lease_.lease().observation();
    if (!term_) {
        message.receiver->receive(answer);
        return;
    }
    const core::TimePoint now = clock_.now();
    const decisions::CoordinationReport &report = message.report;
    recordReport(report);
    updateState();
    answer.standing = lease_.isHolding() ? decisions::CoordinatorStanding::Holding
                                         : decisions::CoordinatorStanding::Lapsed;
    answer.platformReadStatus = makePlatformReadStatus();
    answer.lease = lease_.lease().confirmedRenewal(now);
    answer.quarantined = term_->quarantine.refusals(now);
    grantTokens(report, answer);
    if (report.member.instance != self_)
        answer.relay = term_->tree.report(report, now);
    const auto interval = decisions::reportInterval(term_->tree.directCount());
    if (answer.relay) {
        // The node needs the state soon, but must not be redirected in a tight loop.
        answer.reportAfter = interval / 2;
    } else {
        answer.change = term_->state.changesSince(report.known);
        answer.loads = term_->state.loads();
        answer.reportAfter = interval;
    }
    // Sending the configuration to each node of a large fleet would overload the coordinator.
    const bool sendsConfiguration =
        report.isPlatformLost || !decisions::isLargeFleet(term_->members.size());
    if (sendsConfiguration
        && report.configurationVersion < answer.platformReadStatus.configurationVersion)
        answer.configuration = configuration_.text();
    message.receiver->receive(std::move(answer));
}

void CoordinatorTask::recordReport(const decisions::CoordinationReport &report)
{
    const core::TimePoint now = clock_.now();
    term_->members.report(report.member, report.isStopping, now);
    std::vector<core::InstanceId> children;
    for (const decisions::ChildReport &child : report.children) {
        term_->members.report(child.member, child.isStopping, now);
        children.push_back(child.member.instance);
    }
    for (const decisions::quarantine::Notice &notice : report.refusals)
        term_->quarantine.handle(notice, now);
    for (const decisions::quarantine::Completed &completed : report.completed)
        logRefusals(term_->quarantine.handle(completed, now));
    for (const decisions::quarantine::CrashReport &crash : report.crashes)
        logRefusals(term_->quarantine.handle(crash, now));
    logRefusals(term_->quarantine.handle(decisions::quarantine::Tick(), now));
    recordRates(report.rates);
    plan(swap::DemandReported {report.member.instance, report.demands, report.uses,
                               std::move(children)});
}

void CoordinatorTask::logRefusals(const std::vector<decisions::Quarantine::Action> &actions) const
{
    for (const decisions::Quarantine::Action &action : actions) {
        const auto &announce = std::get<decisions::quarantine::Announce>(action);
        runtime::logEvent(runtime::LogEvent::RequestQuarantined,
                          decisions::quarantine::describe(announce));
    }
}

void CoordinatorTask::recordRates(const std::vector<decisions::RateObservation> &rates)
{
    for (const decisions::RateObservation &rate : rates) {
        const std::uint64_t before = term_->permitIssuer.version();
        term_->permitIssuer.record(rate, clock_.now());
        if (term_->permitIssuer.version() != before)
            runtime::logEvent(runtime::LogEvent::TargetRateChanged,
                              "target=" + rate.process.target.value
                                  + " rate=" + decisions::describeRate(rate.requestsPerSecond)
                                  + " age_ms=" + std::to_string(rate.age.count()));
    }
}

std::vector<decisions::PermitGrant>
CoordinatorTask::grantPermits(const std::vector<decisions::PermitRequest> &requests)
{
    std::vector<decisions::PermitGrant> grants;
    for (const decisions::PermitRequest &request : requests) {
        const decisions::PermitGrant grant = term_->permitIssuer.grant(request, clock_.now());
        if (grant.permits > 0)
            grants.push_back(grant);
    }
    return grants;
}

void CoordinatorTask::grantTokens(const decisions::CoordinationReport &report,
                                  decisions::CoordinationAnswer &answer)
{
    const core::TimePoint now = clock_.now();
    for (const decisions::TokenRequest &tokenRequest : report.wanted)
        answer.granted.push_back(term_->tokenLimiter.grant(tokenRequest, now));
    answer.permits = grantPermits(report.permits);
    for (const decisions::ChildReport &child : report.children) {
        if (child.wanted.empty() && child.permits.empty())
            continue;
        decisions::ChildGrant grant {child.member.instance, {}, grantPermits(child.permits)};
        for (const decisions::TokenRequest &tokenRequest : child.wanted)
            grant.granted.push_back(term_->tokenLimiter.grant(tokenRequest, now));
        answer.childGrants.push_back(std::move(grant));
    }
}

void CoordinatorTask::on(OrderFinished &message)
{
    if (term_)
        plan(message.answer);
}

void CoordinatorTask::on(TargetReported &message)
{
    if (term_)
        plan(message.report);
}

void CoordinatorTask::on(CoordinatorTargetsChanged &message)
{
    const TargetTask::Update &update = message.update;
    if (targets_.update(update.entries, update.hasReplicas, update.contentAt))
        applyTargets();
}

void CoordinatorTask::on(CoordinatorConfigurationChanged &message)
{
    table_ = message.table;
    applyConfiguration();
    // Adds the targets of services that were unknown until now.
    applyTargets();
}

void CoordinatorTask::on(StopCoordinating &)
{
    isRunning_ = false;
}

void CoordinatorTask::perform(const swap::SendOrder &action)
{
    calls_.start([this, order = action, fence = term_->fence] {
        const swap::OrderOutcome outcome = sendOrder(order, fence);
        runtime::logEvent(order.kind == swap::OrderKind::Load ? runtime::LogEvent::LoadOrdered
                                                              : runtime::LogEvent::UnloadOrdered,
                          "target=" + order.target.value + " artifact=" + describe(order.artifact)
                              + " sequence=" + std::to_string(order.expectedSequence) + " fence="
                              + std::to_string(fence) + " outcome=" + std::string(nameOf(outcome)));
        metrics_.add(
            "boragerack_orders_total",
            runtime::makeLabels({{"kind", order.kind == swap::OrderKind::Load ? "load" : "unload"},
                                 {"outcome", nameOf(outcome)}}));
        // The planner waits for the outcome of each order and report.
        if (!mailbox_.send(OrderFinished {{order.target, order.order, outcome}}))
            runtime::logEvent(runtime::LogEvent::MessageDropped, "message=order_finished");
    });
}

swap::OrderOutcome CoordinatorTask::sendOrder(const swap::SendOrder &order, std::uint64_t fence)
{
    // The lease is checked again immediately before the order is written, because the process may
    // have been suspended since the decision and the lease may have expired.
    return control_.order(order.address, order, self_, fence,
                          std::chrono::steady_clock::now() + kOrderTimeout,
                          [&] { return lease_.mayOrder() && lease_.lease().fence() == fence; });
}

void CoordinatorTask::perform(const swap::RequestTargetReport &action)
{
    calls_.start([this, action] {
        const auto report = control_.report(action.address, action.target,
                                            std::chrono::steady_clock::now() + kReportTimeout);
        swap::TargetReportReceived received {action.target, std::nullopt};
        if (core::isOk(report))
            received.report = core::valueOf(report);
        else
            runtime::logEvent(runtime::LogEvent::TargetLost,
                              "target=" + action.target.value + " error=\""
                                  + core::errorOf(report).message + "\"");
        metrics_.add("boragerack_target_reports_total",
                     runtime::makeLabels({{"answered", received.report ? "yes" : "no"}}));
        if (!mailbox_.send(TargetReported {std::move(received)}))
            runtime::logEvent(runtime::LogEvent::MessageDropped, "message=target_reported");
    });
}

} // namespace boragerack::gateway
