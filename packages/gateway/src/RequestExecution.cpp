#include "RequestExecution.h"

#include <algorithm>
#include <string>

#include <boost/fiber/operations.hpp>

#include "boragerack/core/RendezvousHash.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"
#include "boragerack/runtime/Metrics.h"

namespace boragerack::gateway {

namespace attempt = decisions::attempt;

namespace {

/// Maximum time between two checks for cancellation, expired timers and the deadline while a stream
/// is idle or a request waits for a target.
constexpr std::chrono::milliseconds kCheckInterval(250);
/// Delay before a request is sent again to a target that refused it without running it, if it may
/// not be sent to any other target.
constexpr std::chrono::milliseconds kRefusalPause(60);
/// Maximum number of refusals that do not count as attempts.
constexpr std::uint32_t kMaxRefusals = 2;
/// Retry delay that is returned to the caller with a refusal.
constexpr std::chrono::milliseconds kRetryAfter(200);

decisions::AttemptParameters makeAttemptParameters(const AdmittedRequest &admitted)
{
    const decisions::ServingRoute &route = admitted.route;
    const bool isStream = route.kind == decisions::RequestKind::Stream;
    const bool mayRepeat =
        route.kind == decisions::RequestKind::Repeatable || (isStream && route.isResumable);
    return {.request = admitted.decoded.callerAttemptId,
            .policy =
                mayRepeat ? decisions::SendPolicy::Repeatable : decisions::SendPolicy::AtMostOnce,
            .canResume = isStream && route.isResumable,
            .echoesAttempt = !admitted.decoded.callerAttemptId.empty(),
            .deadline = admitted.deadline,
            .maxAttempts = std::max(1U, route.maxAttempts),
            .refusalProvesNotRun = true,
            .maxRefusals = kMaxRefusals,
            .resumeWait = std::chrono::milliseconds(0)};
}

/// Requests whose prompt parts before the last one are equal can share cached prompts.
std::uint64_t prefixOf(const AdmittedRequest &admitted)
{
    const std::vector<PromptPart> &prompt = admitted.decoded.prompt;
    return admitted.route.sharesPrompts && prompt.size() > 1 ? prompt[prompt.size() - 2].id : 0;
}

/// Hash of all parts but the last, which belongs to the request alone; zero if there are none.
std::uint64_t hashSharedParts(const AdmittedRequest &admitted)
{
    const std::vector<PromptPart> &prompt = admitted.decoded.prompt;
    std::uint64_t hash = 0;
    for (std::size_t i = 0; admitted.route.sharesPrompts && i + 1 < prompt.size(); ++i)
        hash = core::stableHash(std::to_string(prompt[i].id), hash);
    return hash;
}

} // namespace

std::vector<decisions::CrashSuspect> makeCrashSuspects(const AdmittedRequest &admitted)
{
    decisions::RequestContent content {
        admitted.organisation, admitted.request.target, admitted.request.body, {}};
    // The last part belongs to the request alone.
    const std::vector<PromptPart> &prompt = admitted.decoded.prompt;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        content.sharedParts.push_back(std::to_string(prompt[i].id));
    return decisions::makeCrashSuspects(content);
}

std::optional<core::Error> findQuarantine(const FleetView &fleet,
                                          const std::vector<decisions::CrashSuspect> &suspects,
                                          core::TimePoint now)
{
    const auto refusal = fleet.findRefusal(suspects, now);
    if (!refusal)
        return std::nullopt;
    return core::makeNotRunError(core::ErrorCode::Quarantined,
                                 "several targets ended while they ran such a request, fingerprint "
                                     + core::toHex(refusal->fingerprint).substr(0, 16),
                                 refusal->remaining);
}

RequestExecution::RequestExecution(const RequestDependencies &dependencies,
                                   AdmittedRequest admitted, runtime::HttpResponder &responder)
    : dependencies_(dependencies)
    , admitted_(std::move(admitted))
    , responder_(responder)
    , attempt_(dependencies.charts.attempt, makeAttemptParameters(admitted_))
    , reservation_(dependencies.client.buffers())
{
}

RequestExecution::~RequestExecution()
{
    runtime::runGuarded("request end", [this] {
        endRoute(decisions::AttemptOutcome::Abandoned);
        finishRequest(core::Verdict::MayHaveRun);
    });
}

RequestOutcome RequestExecution::run()
{
    responder_.setDisconnectCallback([this] { onCallerGone(); });
    perform(attempt::ChooseTarget());
    while (!attempt_.isFinished()) {
        waitForEvent();
        checkLimits();
    }
    endRoute(decisions::AttemptOutcome::Abandoned);
    finishRequest(outcome_.verdict);
    return outcome_;
}

void RequestExecution::fire(const decisions::AttemptController::Event &event)
{
    for (const auto &action : attempt_.handle(event, dependencies_.clock.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

void RequestExecution::onCallerGone()
{
    outcome_.isCallerGone = true;
    // Wakes the fiber, which waits for either the exchange or the reply.
    if (exchange_)
        exchange_->cancel();
    reply_.set(core::makeNotRunError(core::ErrorCode::ConnectionFailed, "the caller disconnected"));
}

core::TimePoint RequestExecution::toSteady(core::TimePoint time) const
{
    return std::chrono::steady_clock::now() + (time - dependencies_.clock.now());
}

void RequestExecution::waitForEvent()
{
    core::TimePoint wakeAt = dependencies_.clock.now() + kCheckInterval;
    if (const auto limit = attempt_.nextTimer())
        wakeAt = std::min(wakeAt, *limit);
    wakeAt = std::min(wakeAt, admitted_.deadline);
    if (!exchange_) {
        boost::this_fiber::sleep_until(toSteady(wakeAt));
        return;
    }
    if (const auto event = exchange_->receiveUntil(toSteady(wakeAt)))
        std::visit([this](const auto &body) { onExchange(body); }, *event);
}

void RequestExecution::checkLimits()
{
    if (attempt_.isFinished())
        return;
    const core::TimePoint now = dependencies_.clock.now();
    if (outcome_.isCallerGone)
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
    else if (const auto limit = attempt_.nextTimer(); limit && *limit <= now) {
        // A target that received the request and did not answer in time counts as failed.
        if (attempt_.state() == decisions::AttemptState::Sending)
            endRoute(decisions::AttemptOutcome::Failed);
        fire(attempt::TimerFired());
    } else if (now >= admitted_.deadline)
        fire(attempt::Cancel {core::ErrorCode::DeadlineExceeded});
}

bool RequestExecution::mayStillRun() const
{
    if (admitted_.route.isOpen)
        return true;
    const RouteTablePointer table = dependencies_.configuration.table();
    if (!table || !dependencies_.configuration.mayServe())
        return false;
    if (!table->requiresKeys())
        return true;
    const auto *organisation = table->findKey(admitted_.decoded.key);
    return organisation && organisation->organisation == admitted_.organisation;
}

const std::vector<decisions::CrashSuspect> &RequestExecution::suspects() const
{
    if (suspects_.empty())
        suspects_ = makeCrashSuspects(admitted_);
    return suspects_;
}

std::optional<core::Error> RequestExecution::findQuarantine() const
{
    const auto fleet = dependencies_.routing.fleet().get();
    if (fleet->quarantined.empty())
        return std::nullopt;
    return gateway::findQuarantine(*fleet, suspects(), dependencies_.clock.now());
}

std::optional<core::Error> RequestExecution::findStopRefusal() const
{
    // A request that may have run is not refused; only an attempt that succeeds serves its caller.
    return attempt_.verdict() == core::Verdict::NotRun ? dependencies_.lifecycle.admitDispatch()
                                                       : std::nullopt;
}

decisions::SendPermission RequestExecution::requestSendPermission()
{
    const SendPermissionRequest message {admitted_.number, {}};
    if (!dependencies_.routing.trySend(message))
        return decisions::SendPermission::TargetLeft;
    return message.reply.waitUntil(toSteady(admitted_.deadline))
        .value_or(decisions::SendPermission::TargetLeft);
}

std::optional<core::Result<RouteGrant>> RequestExecution::waitForRoute(const RouteReply &reply)
{
    const core::TimePoint limit = attempt_.nextTimer().value_or(admitted_.deadline);
    while (dependencies_.clock.now() < limit) {
        const core::TimePoint wakeAt = std::min(limit, dependencies_.clock.now() + kCheckInterval);
        if (auto answer = reply.waitUntil(toSteady(wakeAt)))
            return answer;
        if (const auto refusal = findQuarantine())
            return *refusal;
        if (const auto refusal = findStopRefusal())
            return *refusal;
    }
    return std::nullopt;
}

void RequestExecution::perform(const attempt::ChooseTarget &action)
{
    if (outcome_.isCallerGone) {
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
        return;
    }
    auto refusal = findQuarantine();
    if (!refusal)
        refusal = findStopRefusal();
    if (refusal) {
        fire(attempt::DispatchFailed {refusal->code, refusal->retryAfter});
        return;
    }
    const bool isExhausted = tried_.size() >= std::max(1U, admitted_.route.maxAttempts);
    // The request may not be sent to another target, and this target does not accept it.
    if (isExhausted && wasMisdirected_) {
        fire(attempt::DispatchFailed {core::ErrorCode::NoReadyReplica, kRetryAfter});
        return;
    }
    reply_ = {};
    RouteRequest routeRequest;
    routeRequest.request = admitted_.number;
    routeRequest.organisation = admitted_.organisation;
    routeRequest.tokens = action.isFirst ? admitted_.tokens : 0;
    routeRequest.isFirst = action.isFirst;
    routeRequest.isRetry = action.isRetry;
    routeRequest.deadline = admitted_.deadline;
    routeRequest.reply = reply_;
    routeRequest.requirements.service = admitted_.service;
    routeRequest.requirements.artifact = admitted_.decoded.artifact;
    routeRequest.requirements.avoid = action.avoid;
    routeRequest.requirements.targetLatency = admitted_.route.targetLatency;
    routeRequest.requirements.prefix = prefixOf(admitted_);
    routeRequest.requirements.work = admitted_.decoded.work;
    routeRequest.requirements.sharedParts = hashSharedParts(admitted_);
    routeRequest.requirements.organisation = admitted_.organisation;
    routeRequest.requirements.priority = admitted_.urgency.value_or(0);
    routeRequest.requirements.deadline = admitted_.deadline;
    if (isExhausted)
        routeRequest.requirements.only = tried_;
    if (!dependencies_.routing.trySend(routeRequest)) {
        fire(attempt::DispatchFailed {core::ErrorCode::QueueFull, kRetryAfter});
        return;
    }
    isRouteOpen_ = true;
    firstPiece_.reset();
    const core::TimePoint askedAt = dependencies_.clock.now();
    const auto answer = waitForRoute(reply_);
    outcome_.waited +=
        std::chrono::floor<std::chrono::milliseconds>(dependencies_.clock.now() - askedAt);
    if (outcome_.isCallerGone) {
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
    } else if (!answer) {
        fire(attempt::TimerFired());
    } else if (core::isOk(*answer)) {
        if (isExhausted)
            boost::this_fiber::sleep_for(kRefusalPause);
        grant_ = core::valueOf(*answer);
        fire(attempt::Dispatch {grant_->target});
    } else {
        const core::Error &error = core::errorOf(*answer);
        fire(attempt::DispatchFailed {error.code, error.retryAfter});
    }
}

void RequestExecution::perform(const attempt::OpenConnection &action)
{
    outcome_.target = grant_->target;
    splitter_ = {};
    body_.clear();
    static_cast<void>(reservation_.resize(0));
    isStreaming_ = false;
    exchange_ = dependencies_.client.open(grant_->address,
                                          action.mustBeNew ? runtime::ConnectionUse::New
                                                           : runtime::ConnectionUse::KeptOrNew);
}

void RequestExecution::perform(const attempt::SendRequest &action)
{
    received_ = action.resumeOffset;
    dependencies_.metrics.add(
        "boragerack_sends_total",
        runtime::makeLabels({{"service", admitted_.service.value},
                             {"kind", outcome_.sends == 0 ? "first" : "retry"}}));
    ++outcome_.sends;
    sentAt_ = dependencies_.clock.now();
    firstPiece_.reset();
    if (std::ranges::find(tried_, grant_->target) == tried_.end())
        tried_.push_back(grant_->target);
    TargetCall call;
    call.target = grant_->target;
    call.organisation = admitted_.organisation;
    call.timeLeft = std::chrono::floor<std::chrono::milliseconds>(admitted_.deadline
                                                                  - dependencies_.clock.now());
    call.urgency = admitted_.urgency;
    if (action.resumeOffset > 0)
        call.lastEvent = lastEvent_;
    exchange_->send(dependencies_.protocol.encodeForTarget(admitted_.request, call));
}

void RequestExecution::perform(const attempt::ForwardHead &)
{
    isHeadSent_ = true;
    outcome_.status = head_.status;
    auto headers = dependencies_.protocol.headersForCaller(head_);
    const bool isSent = isStreaming_
        ? responder_.startStream(head_.status, headers)
        : responder_.send({head_.status, std::move(headers), std::exchange(body_, {})});
    if (!isSent)
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
}

void RequestExecution::perform(const attempt::ForwardPart &)
{
    // A complete body is sent together with its head.
    if (isStreaming_ && !responder_.writePart(event_))
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
}

void RequestExecution::perform(const attempt::CancelOnTarget &)
{
    // Closing the connection makes the target cancel the request.
}

void RequestExecution::perform(const attempt::CloseConnection &)
{
    exchange_.reset();
}

void RequestExecution::perform(const attempt::ReleaseConnection &)
{
    endRoute(decisions::AttemptOutcome::Succeeded, false, isFramed_);
    exchange_.reset();
}

void RequestExecution::perform(const attempt::DiscardAnswer &)
{
    // The connection is closed in the same step; its data belongs to another request.
}

void RequestExecution::perform(const attempt::Finish &action)
{
    outcome_.verdict = action.verdict;
    outcome_.error = action.error;
    outcome_.attempts = action.attempts;
    if (!action.error) {
        if (isStreaming_)
            responder_.finishStream();
        return;
    }
    if (isHeadSent_ || outcome_.isCallerGone) {
        // Aborts a stream so that it is not mistaken for a complete one.
        responder_.abortConnection();
        return;
    }
    core::Error error = *action.error;
    if (error.verdict == core::Verdict::NotRun && error.retryAfter.count() == 0)
        error.retryAfter = kRetryAfter;
    const auto refusal =
        dependencies_.protocol.encodeRefusal(error, admitted_.decoded.callerAttemptId);
    outcome_.status = refusal.status;
    responder_.send(refusal);
}

void RequestExecution::endRoute(decisions::AttemptOutcome outcome, bool isMissing, bool isHarmless)
{
    if (!std::exchange(isRouteOpen_, false))
        return;
    RouteRequestEnded message {admitted_.number, outcome, isMissing, firstPiece_, {}};
    if (isHarmless)
        message.harmless = suspects();
    // The routing task would count the request as active for good.
    if (!dependencies_.routing.send(std::move(message)))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=route_ended");
}

void RequestExecution::finishRequest(core::Verdict verdict)
{
    // Requests without tokens are not charged.
    if (std::exchange(isFinished_, true) || admitted_.tokens == 0)
        return;
    const bool hasRun = verdict != core::Verdict::NotRun;
    if (!dependencies_.routing.send(RequestFinished {admitted_.number, hasRun}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=request_finished");
}

} // namespace boragerack::gateway
