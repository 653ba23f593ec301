#include "boragerack/decisions/AttemptController.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

AttemptController::AttemptController(std::shared_ptr<const AttemptBinding> chart,
                                     AttemptParameters parameters)
    : parameters_(std::move(parameters))
    , chart_(std::move(chart))
    , expiresAt_(parameters_.deadline - kRefusalMargin)
{
}

std::vector<AttemptController::Action> AttemptController::handle(const Event &event,
                                                                 core::TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &concrete) { on(concrete, now, actions); }, event);
    return actions;
}

std::optional<core::TimePoint> AttemptController::nextTimer() const
{
    if (!chart_.accepts(AttemptChartEvent::Expire))
        return std::nullopt;
    return expiresAt_;
}

void AttemptController::on(const attempt::Dispatch &event, core::TimePoint now, Actions &actions)
{
    if (!chart_.accepts(AttemptChartEvent::Dispatch))
        return;
    if (isExpired(now)) {
        expire(actions);
        return;
    }
    ++attemptNumber_;
    target_ = event.target;
    fire(AttemptChartEvent::Dispatch, actions);
}

void AttemptController::on(const attempt::DispatchFailed &event, core::TimePoint, Actions &actions)
{
    if (!chart_.accepts(AttemptChartEvent::DispatchFailed))
        return;
    failureCode_ = event.code;
    retryAfter_ = event.retryAfter;
    fire(AttemptChartEvent::DispatchFailed, actions);
}

void AttemptController::on(const attempt::Cancel &event, core::TimePoint, Actions &actions)
{
    if (!chart_.accepts(AttemptChartEvent::Cancel))
        return;
    failureCode_ = event.code;
    fire(AttemptChartEvent::Cancel, actions);
}

void AttemptController::on(const attempt::TimerFired &, core::TimePoint now, Actions &actions)
{
    if (chart_.accepts(AttemptChartEvent::Expire) && isExpired(now))
        expire(actions);
}

void AttemptController::on(const attempt::Connected &event, core::TimePoint now, Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptChartEvent::Connected))
        return;
    if (isExpired(now))
        expire(actions);
    else
        fire(AttemptChartEvent::Connected, actions);
}

void AttemptController::on(const attempt::ConnectionLost &event, core::TimePoint now,
                           Actions &actions)
{
    // A crash that is detected after the connection was closed still counts.
    if (event.targetCrashed && event.attempt.request == parameters_.request)
        targetCrashes_.insert(event.attempt.number);
    if (isCurrent(event.attempt))
        handleConnectionLoss(core::ErrorCode::ConnectionFailed, now, actions);
}

void AttemptController::on(const attempt::TargetRefused &event, core::TimePoint now,
                           Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptChartEvent::TargetRefused))
        return;
    // The refusal of another attempt proves nothing about this one.
    if (event.echoed && !isCurrent(*event.echoed)) {
        actions.emplace_back(attempt::DiscardAnswer {*event.echoed});
        handleConnectionLoss(core::ErrorCode::ProtocolViolation, now, actions);
        return;
    }
    failureCode_ = core::ErrorCode::TargetFailed;
    failedTargets_.push_back(target_);
    ++refusals_;
    if (parameters_.refusalProvesNotRun)
        verdict_ = verdictBeforeAttempt_;
    fire(AttemptChartEvent::TargetRefused, actions);
    fire(isRetryAllowed(now) ? AttemptChartEvent::RetryAllowed : AttemptChartEvent::RetryDenied,
         actions);
}

void AttemptController::on(const attempt::AnswerStarted &event, core::TimePoint now,
                           Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptChartEvent::AnswerStarted)) {
        actions.emplace_back(attempt::DiscardAnswer {event.attempt});
        return;
    }
    // The connection carries the answer to another attempt, so later data on it cannot be
    // trusted either.
    if (event.echoed ? !isCurrent(*event.echoed) : parameters_.echoesAttempt) {
        actions.emplace_back(attempt::DiscardAnswer {event.echoed.value_or(event.attempt)});
        handleConnectionLoss(core::ErrorCode::ProtocolViolation, now, actions);
        return;
    }
    fire(AttemptChartEvent::AnswerStarted, actions);
}

void AttemptController::on(const attempt::AnswerPart &event, core::TimePoint now, Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptChartEvent::AnswerPart)) {
        actions.emplace_back(attempt::DiscardAnswer {event.attempt});
        return;
    }
    if (event.offset > nextOffset_) {
        // The part starts after the next expected unit (token of a stream, else byte); forwarding
        // it would leave a gap in the caller's answer.
        handleConnectionLoss(core::ErrorCode::ProtocolViolation, now, actions);
        return;
    }
    partSkip_ = std::min(nextOffset_ - event.offset, event.count);
    partCount_ = event.count - partSkip_;
    nextOffset_ += partCount_;
    fire(AttemptChartEvent::AnswerPart, actions);
}

void AttemptController::on(const attempt::AnswerCompleted &event, core::TimePoint now,
                           Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptChartEvent::AnswerCompleted)) {
        actions.emplace_back(attempt::DiscardAnswer {event.attempt});
        return;
    }
    if (event.length != nextOffset_)
        handleConnectionLoss(core::ErrorCode::ProtocolViolation, now, actions);
    else
        fire(AttemptChartEvent::AnswerCompleted, actions);
}

bool AttemptController::isCurrent(const AttemptId &attempt) const
{
    return attempt.number == attemptNumber_ && attempt.request == parameters_.request;
}

bool AttemptController::isExpired(core::TimePoint now) const
{
    return now >= expiresAt_;
}

bool AttemptController::isRetryAllowed(core::TimePoint now) const
{
    const std::uint32_t countedAttempts =
        attemptNumber_ - std::min(refusals_, parameters_.maxRefusals);
    if (countedAttempts >= parameters_.maxAttempts || targetCrashes_.size() >= kMaxTargetCrashes
        || isExpired(now))
        return false;
    if (verdict_ == core::Verdict::NotRun)
        return true;
    return parameters_.policy == SendPolicy::Repeatable
        && (!headForwarded_ || parameters_.canResume);
}

void AttemptController::expire(Actions &actions)
{
    failureCode_ = core::ErrorCode::DeadlineExceeded;
    fire(AttemptChartEvent::Expire, actions);
}

void AttemptController::handleConnectionLoss(core::ErrorCode code, core::TimePoint now,
                                             Actions &actions)
{
    if (!chart_.accepts(AttemptChartEvent::ConnectionLost))
        return;
    failureCode_ = code;
    failedTargets_.push_back(target_);
    // Nothing was sent on a connection that could not be opened, so it counts as a refusal.
    if (chart_.state() == AttemptState::Connecting)
        ++refusals_;
    if (headForwarded_)
        expiresAt_ = std::max(expiresAt_, now + parameters_.resumeWait);
    fire(AttemptChartEvent::ConnectionLost, actions);
    fire(isRetryAllowed(now) ? AttemptChartEvent::RetryAllowed : AttemptChartEvent::RetryDenied,
         actions);
}

void AttemptController::fire(AttemptChartEvent event, Actions &actions)
{
    for (const AttemptChartAction action : chart_.fire(event))
        perform(action, actions);
}

void AttemptController::perform(AttemptChartAction action, Actions &actions)
{
    switch (action) {
    case AttemptChartAction::OpenConnection:
        actions.emplace_back(
            attempt::OpenConnection {current(), target_, wasSent_ || !parameters_.echoesAttempt});
        break;
    case AttemptChartAction::MarkMayHaveRun:
        verdictBeforeAttempt_ = verdict_;
        verdict_ = std::max(verdict_, core::Verdict::MayHaveRun);
        break;
    case AttemptChartAction::SendRequest:
        wasSent_ = true;
        actions.emplace_back(attempt::SendRequest {current(), target_, nextOffset_});
        break;
    case AttemptChartAction::CloseConnection:
        actions.emplace_back(attempt::CloseConnection {current()});
        break;
    case AttemptChartAction::ForwardHead:
        // The caller of a resumed answer has already received the head.
        if (!std::exchange(headForwarded_, true))
            actions.emplace_back(attempt::ForwardHead {current()});
        break;
    case AttemptChartAction::ForwardPart:
        if (partCount_ > 0)
            actions.emplace_back(attempt::ForwardPart {current(), partSkip_, partCount_});
        break;
    case AttemptChartAction::CancelOnTarget:
        actions.emplace_back(attempt::CancelOnTarget {current(), target_});
        break;
    case AttemptChartAction::MarkRan:
        verdict_ = core::Verdict::Ran;
        break;
    case AttemptChartAction::ReleaseConnection:
        actions.emplace_back(attempt::ReleaseConnection {current()});
        break;
    case AttemptChartAction::ChooseTarget:
        actions.emplace_back(attempt::ChooseTarget {failedTargets_, false, wasSent_});
        break;
    case AttemptChartAction::ReportSuccess:
        actions.emplace_back(attempt::Finish {verdict_, std::nullopt, attemptNumber_});
        break;
    case AttemptChartAction::ReportFailure:
        actions.emplace_back(attempt::Finish {verdict_, makeFailure(), attemptNumber_});
        break;
    }
}

core::Error AttemptController::makeFailure() const
{
    return core::Error {failureCode_, verdict_,
                        "request ended after " + std::to_string(attemptNumber_) + " attempts",
                        retryAfter_};
}

} // namespace boragerack::decisions
