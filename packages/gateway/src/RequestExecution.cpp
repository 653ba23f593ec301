#include "RequestExecution.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace attempt = decisions::attempt;

namespace {

/// Upper bound of the time until a withdrawn key or a deadline is noticed in a quiet stream.
constexpr std::chrono::milliseconds kCheckInterval(250);
/// A target that declined a request without running it is asked again after this pause if no other
/// target may get the request.
constexpr std::chrono::milliseconds kRefusalPause(60);
/// Refusals that do not count as attempts.
constexpr std::uint32_t kMaxRefusals = 2;
/// When a caller should come back after a refusal.
constexpr std::chrono::milliseconds kRetryAfter(200);

decisions::AttemptParameters makePlan(const AdmittedRequest &job)
{
    const decisions::ServingRoute &route = job.route;
    const bool isStream = route.kind == decisions::RequestKind::Stream;
    const bool mayRepeat =
        route.kind == decisions::RequestKind::Repeatable || (isStream && route.isResumable);
    return {.request = job.decoded.callerAttemptId,
            .policy =
                mayRepeat ? decisions::SendPolicy::Repeatable : decisions::SendPolicy::AtMostOnce,
            .canResume = isStream && route.isResumable,
            .deadline = job.deadline,
            .maxAttempts = std::max(1U, route.maxAttempts),
            .refusalProvesNotRun = true,
            .maxRefusals = kMaxRefusals,
            .resumeWait = std::chrono::milliseconds(0)};
}

/// Requests with the same parts before the last one can use each other's cached prompts.
std::uint64_t prefixOf(const AdmittedRequest &job)
{
    const std::vector<PromptPart> &prompt = job.decoded.prompt;
    return job.route.sharesPrompts && prompt.size() > 1 ? prompt[prompt.size() - 2].id : 0;
}

} // namespace

RequestExecution::RequestExecution(const RequestDependencies &services, AdmittedRequest job,
                                   runtime::HttpResponder &responder)
    : services_(services)
    , job_(std::move(job))
    , responder_(responder)
    , attempt_(services.charts.attempt, makePlan(job_))
{
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
    if (outcome_.verdict == core::Verdict::NotRun && job_.tokens > 0
        && !services_.routing.trySend(TokensReturned {job_.organisation, job_.tokens}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=tokens_returned");
    return outcome_;
}

void RequestExecution::fire(const decisions::AttemptController::Event &event)
{
    for (const auto &action : attempt_.handle(event, services_.clock.now()))
        std::visit([this](const auto &body) { perform(body); }, action);
}

void RequestExecution::onCallerGone()
{
    outcome_.isCallerGone = true;
    // Wakes the fiber, whichever of the two it waits for.
    if (exchange_)
        exchange_->cancel();
    reply_.set(core::makeNotRunError(core::ErrorCode::ConnectionFailed, "the caller has left"));
}

core::TimePoint RequestExecution::toSteady(core::TimePoint time) const
{
    return std::chrono::steady_clock::now() + (time - services_.clock.now());
}

void RequestExecution::waitForEvent()
{
    core::TimePoint wakeAt = services_.clock.now() + kCheckInterval;
    if (const auto limit = attempt_.nextTimer())
        wakeAt = std::min(wakeAt, *limit);
    wakeAt = std::min(wakeAt, job_.deadline);
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
    const core::TimePoint now = services_.clock.now();
    if (outcome_.isCallerGone)
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
    else if (const auto limit = attempt_.nextTimer(); limit && *limit <= now) {
        // A target that had the request all the time and did not answer counts as failing.
        if (attempt_.state() == decisions::AttemptState::Sending)
            endRoute(decisions::AttemptOutcome::Failed);
        fire(attempt::TimerFired());
    } else if (now >= job_.deadline)
        fire(attempt::Cancel {core::ErrorCode::DeadlineExceeded});
}

bool RequestExecution::mayStillRun() const
{
    if (job_.route.isOpen)
        return true;
    const RouteTablePointer table = services_.configuration.table();
    if (!table || !services_.configuration.mayServe())
        return false;
    if (!table->requiresKeys())
        return true;
    const auto *organisation = table->findKey(job_.decoded.key);
    return organisation && organisation->organisation == job_.organisation;
}

bool RequestExecution::isRetryPermitted()
{
    RetryRequest ask {job_.service, {}};
    if (!services_.routing.trySend(ask))
        return false;
    return ask.reply.waitUntil(toSteady(job_.deadline)).value_or(false);
}

std::optional<core::Result<RouteGrant>> RequestExecution::waitForRoute(const RouteReply &reply)
{
    const core::TimePoint limit = attempt_.nextTimer().value_or(job_.deadline);
    while (services_.clock.now() < limit) {
        const core::TimePoint wakeAt = std::min(limit, services_.clock.now() + kCheckInterval);
        if (auto answer = reply.waitUntil(toSteady(wakeAt)))
            return answer;
        if (services_.lifecycle.mustRefuseWaiting())
            return core::makeNotRunError(core::ErrorCode::Draining, "the node is stopping",
                                         kRetryAfter);
    }
    return std::nullopt;
}

void RequestExecution::perform(const attempt::ChooseTarget &action)
{
    if (outcome_.isCallerGone) {
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
        return;
    }
    const bool isRetry = !tried_.empty();
    const bool isExhausted = tried_.size() >= std::max(1U, job_.route.maxAttempts);
    // The request may go to no further target, and this one will not take it.
    if (isRetry && ((isExhausted && wasMisdirected_) || !isRetryPermitted())) {
        fire(attempt::DispatchFailed {core::ErrorCode::NoReadyReplica, kRetryAfter});
        return;
    }
    if (isRetry && isExhausted)
        boost::this_fiber::sleep_for(kRefusalPause);

    reply_ = {};
    RouteRequest ask;
    ask.request = job_.number;
    ask.organisation = job_.organisation;
    ask.tokens = isRetry ? 0 : job_.tokens;
    ask.isFirst = !isRetry;
    ask.deadline = job_.deadline;
    ask.reply = reply_;
    ask.demand.service = job_.service;
    ask.demand.artifact = job_.decoded.artifact;
    ask.demand.avoid = action.avoid;
    ask.demand.targetLatency = job_.route.targetLatency;
    ask.demand.prefix = prefixOf(job_);
    if (isExhausted)
        ask.demand.only = tried_;
    if (!services_.routing.trySend(ask)) {
        fire(attempt::DispatchFailed {core::ErrorCode::QueueFull, kRetryAfter});
        return;
    }
    isRouteOpen_ = true;
    const core::TimePoint askedAt = services_.clock.now();
    const auto answer = waitForRoute(reply_);
    outcome_.waited +=
        std::chrono::floor<std::chrono::milliseconds>(services_.clock.now() - askedAt);
    if (outcome_.isCallerGone) {
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
    } else if (!answer) {
        fire(attempt::TimerFired());
    } else if (core::isOk(*answer)) {
        grant_ = core::valueOf(*answer);
        fire(attempt::Dispatch {grant_->target});
    } else {
        const core::Error &error = core::errorOf(*answer);
        // The limit was not charged.
        if (error.code == core::ErrorCode::RateLimited)
            job_.tokens = 0;
        fire(attempt::DispatchFailed {error.code, error.retryAfter});
    }
}

void RequestExecution::perform(const attempt::OpenConnection &)
{
    outcome_.target = grant_->target;
    splitter_ = {};
    body_.clear();
    isStreaming_ = false;
    exchange_ = services_.client.open(grant_->address);
}

void RequestExecution::perform(const attempt::SendRequest &action)
{
    received_ = action.resumeOffset;
    if (std::ranges::find(tried_, grant_->target) == tried_.end())
        tried_.push_back(grant_->target);
    TargetCall call;
    call.target = grant_->target;
    call.organisation = job_.organisation;
    call.timeLeft =
        std::chrono::floor<std::chrono::milliseconds>(job_.deadline - services_.clock.now());
    call.urgency = job_.urgency;
    if (action.resumeOffset > 0)
        call.lastEvent = lastEvent_;
    exchange_->send(services_.protocol.encodeForTarget(job_.request, call));
}

void RequestExecution::perform(const attempt::ForwardHead &)
{
    isHeadSent_ = true;
    outcome_.status = head_.status;
    auto headers = services_.protocol.headersForCaller(head_);
    const bool isSent = isStreaming_
        ? responder_.startStream(head_.status, headers)
        : responder_.send({head_.status, std::move(headers), std::exchange(body_, {})});
    if (!isSent)
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
}

void RequestExecution::perform(const attempt::ForwardPart &)
{
    // A whole body goes out together with its head.
    if (isStreaming_ && !responder_.writePart(piece_))
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
}

void RequestExecution::perform(const attempt::CancelOnTarget &)
{
    // Closing the connection makes the target drop the request.
}

void RequestExecution::perform(const attempt::CloseConnection &)
{
    exchange_.reset();
}

void RequestExecution::perform(const attempt::ReleaseConnection &)
{
    endRoute(decisions::AttemptOutcome::Succeeded);
    exchange_.reset();
}

void RequestExecution::perform(const attempt::DiscardAnswer &)
{
    // The connection is closed in the same step; what it carried belongs to another request.
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
        // Cuts a stream so that it cannot be taken for a complete one.
        responder_.abortConnection();
        return;
    }
    core::Error error = *action.error;
    if (error.verdict == core::Verdict::NotRun && error.retryAfter.count() == 0)
        error.retryAfter = kRetryAfter;
    const auto refusal = services_.protocol.encodeRefusal(error, job_.decoded.callerAttemptId);
    outcome_.status = refusal.status;
    responder_.send(refusal);
}

void RequestExecution::endRoute(decisions::AttemptOutcome outcome, bool isMissing)
{
    if (!std::exchange(isRouteOpen_, false))
        return;
    if (!services_.routing.trySend(RouteRequestEnded {job_.number, outcome, isMissing}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=route_ended");
}

} // namespace boragerack::gateway
