// Handles events of the connection to a target and forwards the response to the caller.

#include "RequestExecution.h"

#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace attempt = decisions::attempt;

namespace {

constexpr std::size_t kMaxBodyBytes = 16 * 1024 * 1024;

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;

/// Statuses that imply that the request has not run. They must not be forwarded to the caller
/// unless the target states explicitly that it did not run the request.
bool impliesNotRun(unsigned status)
{
    return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests
        || status == kUnavailable;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

void RequestExecution::onExchange(const runtime::HttpConnected &)
{
    // Immediately before the request is written, a recent proof must still show the key to be
    // valid.
    if (!mayStillRun()) {
        fire(attempt::Cancel {core::ErrorCode::Isolated});
        return;
    }
    if (const auto refusal = findQuarantine()) {
        fire(attempt::Cancel {refusal->code});
        return;
    }
    const decisions::SendPermission permission = requestSendPermission();
    if (outcome_.isCallerGone) {
        fire(attempt::Cancel {core::ErrorCode::ConnectionFailed});
        return;
    }
    if (const auto refusal = findStopRefusal()) {
        fire(attempt::Cancel {refusal->code});
        return;
    }
    switch (permission) {
    case decisions::SendPermission::Granted:
        fire(attempt::Connected {attemptId()});
        break;
    case decisions::SendPermission::TargetLeft:
        endRoute(decisions::AttemptOutcome::Abandoned);
        fire(attempt::ConnectionLost {attemptId(), false});
        break;
    case decisions::SendPermission::NoRetryBudget:
        fire(attempt::Cancel {core::ErrorCode::NoReadyReplica});
        break;
    }
}

void RequestExecution::onExchange(const runtime::HttpResponseHead &event)
{
    const TargetAnswer answer = dependencies_.protocol.decodeAnswer(event);
    // A faulty target may send an earlier answer again on a kept connection, or bytes that only
    // look like one. What an answer says, also that the request did not run, holds only for the
    // attempt that it names, and a success counts only if it is signed.
    const bool isOtherAttempt = answer.attempt != admitted_.decoded.callerAttemptId;
    if (isOtherAttempt || (isSuccess(event.status) && !answer.isSigned)) {
        failAttempt();
        return;
    }
    if ((grant_->isRateLimited || answer.advice != decisions::TargetAdvice())
        && !dependencies_.routing.trySend(
            TargetAdviceReceived {{grant_->target, grant_->startedAt}, answer.advice}))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=target_advice");
    if (answer.didNotRun) {
        wasMisdirected_ = answer.isMisdirected;
        endRoute(decisions::AttemptOutcome::Refused, answer.isMisdirected);
        fire(attempt::TargetRefused {attemptId()});
        return;
    }
    // The caller has the head of a stream that another target began, so a failure cannot follow.
    if (isHeadSent_ && !isSuccess(event.status)) {
        failAttempt();
        return;
    }
    // A repeatable request that failed is retried while attempts are left.
    const bool isFailure = event.status >= kServerError;
    const bool mayRetry = isFailure && admitted_.route.kind == decisions::RequestKind::Repeatable
        && attemptId().number < admitted_.route.maxAttempts;
    if (impliesNotRun(event.status) || mayRetry) {
        failAttempt();
        return;
    }
    head_ = event;
    isStreaming_ =
        admitted_.route.kind == decisions::RequestKind::Stream && isSuccess(event.status);
    if (isStreaming_)
        fire(attempt::AnswerStarted {attemptId(), attemptId()});
}

void RequestExecution::onExchange(const runtime::HttpBodyPart &event)
{
    if (isStreaming_) {
        forwardEvents(event.data);
        return;
    }
    const std::size_t size = body_.size() + event.data.size();
    if (size <= kMaxBodyBytes && reservation_.resize(size))
        body_ += event.data;
    else
        failAttempt();
}

void RequestExecution::onExchange(const runtime::HttpCompleted &event)
{
    isFramed_ = event.isFramed;
    if (!isStreaming_) {
        forwardCompleteBody();
        return;
    }
    // An event that the end of the connection cuts off shows that the target broke off the stream.
    if (!event.isFramed && !splitter_.rest().empty()) {
        reportCrash();
        failAttempt();
        return;
    }
    // Text after the last blank line is part of the body as well.
    if (!splitter_.rest().empty())
        forwardEvent(splitter_.rest());
    fire(attempt::AnswerCompleted {attemptId(), received_});
}

void RequestExecution::onExchange(const core::Error &event)
{
    if (outcome_.isCallerGone)
        return;
    // A target that answers with a violation of the protocol has not crashed.
    if (event.verdict != core::Verdict::NotRun && event.code != core::ErrorCode::ProtocolViolation)
        reportCrash();
    failAttempt();
}

void RequestExecution::reportCrash()
{
    const std::string process = grant_->target.value + "/" + std::to_string(grant_->startedAt);
    CrashSuspected suspected {
        {suspects(), {attemptId(), process, sentAt_, dependencies_.clock.now()}},
        grant_->target,
        grant_->address,
        grant_->startedAt};
    if (!dependencies_.crashChecks.trySend(std::move(suspected)))
        runtime::logEvent(runtime::LogEvent::MessageDropped, "message=crash_suspected");
}

void RequestExecution::failAttempt()
{
    endRoute(decisions::AttemptOutcome::Failed);
    fire(attempt::ConnectionLost {attemptId(), false});
}

void RequestExecution::forwardEvents(std::string_view bytes)
{
    for (std::string &event : splitter_.add(bytes))
        forwardEvent(std::move(event));
    if (splitter_.isTooLong() || !reservation_.resize(splitter_.rest().size()))
        failAttempt();
}

void RequestExecution::forwardEvent(std::string event)
{
    event_ = std::move(event);
    if (!firstPiece_)
        firstPiece_ = dependencies_.clock.now() - sentAt_;
    if (const auto number = dependencies_.protocol.eventNumber(event_))
        lastEvent_ = number;
    const std::uint64_t offset = received_++;
    fire(attempt::AnswerPart {attemptId(), offset, 1});
}

void RequestExecution::forwardCompleteBody()
{
    const std::uint64_t size = body_.size();
    const auto current = attemptId();
    const bool isFailure = head_.status >= kServerError;
    fire(attempt::AnswerStarted {current, current});
    fire(attempt::AnswerPart {current, 0, size});
    if (isFailure)
        endRoute(decisions::AttemptOutcome::Failed);
    fire(attempt::AnswerCompleted {current, size});
}

} // namespace boragerack::gateway
