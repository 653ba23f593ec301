// What a target's connection tells a request, and what the caller gets of it.

#include "RequestExecution.h"

#include "boragerack/decisions/Quarantine.h"
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

/// Statuses that promise that the request has not run. Without the target's word for it they must
/// not reach the caller.
bool promisesNotRun(unsigned status)
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
    // Directly before the request is written, the key must still be valid by a recent proof.
    if (!mayStillRun()) {
        fire(attempt::Cancel {core::ErrorCode::Isolated});
        return;
    }
    fire(attempt::Connected {attemptId()});
}

void RequestExecution::onExchange(const runtime::HttpResponseHead &event)
{
    const TargetAnswer answer = services_.protocol.decodeAnswer(event);
    if (answer.didNotRun) {
        wasMisdirected_ = answer.isMisdirected;
        endRoute(decisions::AttemptOutcome::Refused, answer.isMisdirected);
        fire(attempt::TargetRefused {attemptId()});
        return;
    }
    const bool isForeign =
        !answer.attempt.empty() && answer.attempt != job_.decoded.callerAttemptId;
    // An error of a repeatable request is worth another try while one is left.
    const bool isFailure = event.status >= kServerError;
    const bool mayRetry = isFailure && job_.route.kind == decisions::RequestKind::Repeatable
        && attemptId().number < job_.route.maxAttempts;
    if (isForeign || promisesNotRun(event.status) || mayRetry) {
        loseAttempt();
        return;
    }
    head_ = event;
    isStreaming_ = job_.route.kind == decisions::RequestKind::Stream && isSuccess(event.status);
    if (isStreaming_)
        fire(attempt::AnswerStarted {attemptId(), std::nullopt});
}

void RequestExecution::onExchange(const runtime::HttpBodyPart &event)
{
    if (isStreaming_)
        forwardEvents(event.data);
    else if (body_.size() + event.data.size() <= kMaxBodyBytes)
        body_ += event.data;
    else
        loseAttempt();
}

void RequestExecution::onExchange(const runtime::HttpCompleted &)
{
    if (!isStreaming_) {
        forwardWhole();
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
    if (event.verdict != core::Verdict::NotRun) {
        const core::Digest fingerprint =
            decisions::makeFingerprint(job_.organisation, job_.request.target, job_.request.body);
        if (!services_.routing.trySend(
                RequestCrashReported {{fingerprint, job_.decoded.callerAttemptId}}))
            runtime::logEvent(runtime::LogEvent::MessageDropped, "message=request_died");
    }
    loseAttempt();
}

void RequestExecution::loseAttempt()
{
    endRoute(decisions::AttemptOutcome::Failed);
    fire(attempt::ConnectionLost {attemptId(), false});
}

void RequestExecution::forwardEvents(std::string_view bytes)
{
    for (std::string &event : splitter_.add(bytes))
        forwardEvent(std::move(event));
}

void RequestExecution::forwardEvent(std::string event)
{
    piece_ = std::move(event);
    if (const auto number = services_.protocol.eventNumber(piece_))
        lastEvent_ = number;
    const std::uint64_t offset = received_++;
    fire(attempt::AnswerPart {attemptId(), offset, 1});
}

void RequestExecution::forwardWhole()
{
    const std::uint64_t size = body_.size();
    const auto current = attemptId();
    const bool isFailure = head_.status >= kServerError;
    fire(attempt::AnswerStarted {current, std::nullopt});
    fire(attempt::AnswerPart {current, 0, size});
    if (isFailure)
        endRoute(decisions::AttemptOutcome::Failed);
    fire(attempt::AnswerCompleted {current, size});
}

} // namespace boragerack::gateway
