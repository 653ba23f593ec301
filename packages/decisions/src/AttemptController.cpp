#include "boragerack/decisions/AttemptController.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

AttemptController::AttemptController(std::shared_ptr<const AttemptBinding> chart,
                                     AttemptParameters plan)
    : plan_(std::move(plan))
    , chart_(std::move(chart))
    , waitLimit_(plan_.deadline - kRefusalMargin)
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
    return waitLimit_;
}

void AttemptController::on(const attempt::Dispatch &event, core::TimePoint now, Actions &actions)
{
    if (!chart_.accepts(AttemptChartEvent::Dispatch))
        return;
    if (isExpired(now)) {
        expire(actions);
        return;
    }
    ++number_;
    target_ = event.target;
    fire(AttemptChartEvent::Dispatch, actions);
}

void AttemptController::on(const attempt::DispatchFailed &event, core::TimePoint, Actions &actions)
{
    if (!chart_.accepts(AttemptChartEvent::DispatchFailed))
        return;
    failure_ = event.code;
    retryAfter_ = event.retryAfter;
    fire(AttemptChartEvent::DispatchFailed, actions);
}

void AttemptController::on(const attempt::Cancel &event, core::TimePoint, Actions &actions)
{
    if (!chart_.accepts(AttemptChartEvent::Cancel))
        return;
    failure_ = event.code;
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
    // A death that is only known after the connection was given up still counts.
    if (event.targetCrashed && event.attempt.request == plan_.request)
        targetDeaths_.insert(event.attempt.number);
    if (isCurrent(event.attempt))
        loseConnection(core::ErrorCode::ConnectionFailed, now, actions);
}

void AttemptController::on(const attempt::TargetRefused &event, core::TimePoint now,
                           Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptChartEvent::TargetRefused))
        return;
    failure_ = core::ErrorCode::TargetFailed;
    failedTargets_.push_back(target_);
    ++refusals_;
    if (plan_.refusalProvesNotRun)
        verdict_ = earlierVerdict_;
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
    // The connection carries the answer to something else, so nothing later on it can be trusted.
    if (event.echoed ? !isCurrent(*event.echoed) : plan_.echoesAttempt) {
        actions.emplace_back(attempt::DiscardAnswer {event.echoed.value_or(event.attempt)});
        loseConnection(core::ErrorCode::ProtocolViolation, now, actions);
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
        // A unit is missing; passing the part on would leave a gap in the caller's answer.
        loseConnection(core::ErrorCode::ProtocolViolation, now, actions);
        return;
    }
    skip_ = std::min(nextOffset_ - event.offset, event.count);
    count_ = event.count - skip_;
    nextOffset_ += count_;
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
        loseConnection(core::ErrorCode::ProtocolViolation, now, actions);
    else
        fire(AttemptChartEvent::AnswerCompleted, actions);
}

bool AttemptController::isCurrent(const AttemptId &attempt) const
{
    return attempt.number == number_ && attempt.request == plan_.request;
}

bool AttemptController::isExpired(core::TimePoint now) const
{
    return now >= waitLimit_;
}

bool AttemptController::isRetryAllowed(core::TimePoint now) const
{
    const std::uint32_t counted = number_ - std::min(refusals_, plan_.maxRefusals);
    if (counted >= plan_.maxAttempts || targetDeaths_.size() >= kMaxTargetCrashes || isExpired(now))
        return false;
    if (verdict_ == core::Verdict::NotRun)
        return true;
    return plan_.policy == SendPolicy::Repeatable && (!headForwarded_ || plan_.canResume);
}

void AttemptController::expire(Actions &actions)
{
    failure_ = core::ErrorCode::DeadlineExceeded;
    fire(AttemptChartEvent::Expire, actions);
}

void AttemptController::loseConnection(core::ErrorCode code, core::TimePoint now, Actions &actions)
{
    if (!chart_.accepts(AttemptChartEvent::ConnectionLost))
        return;
    failure_ = code;
    failedTargets_.push_back(target_);
    // A connection that could not be opened has carried nothing, so it counts like a refusal.
    if (chart_.state() == AttemptState::Connecting)
        ++refusals_;
    if (headForwarded_)
        waitLimit_ = std::max(waitLimit_, now + plan_.resumeWait);
    fire(AttemptChartEvent::ConnectionLost, actions);
    fire(isRetryAllowed(now) ? AttemptChartEvent::RetryAllowed : AttemptChartEvent::RetryDenied,
         actions);
}

void AttemptController::fire(AttemptChartEvent trigger, Actions &actions)
{
    for (const AttemptChartAction step : chart_.fire(trigger))
        perform(step, actions);
}

void AttemptController::perform(AttemptChartAction step, Actions &actions)
{
    switch (step) {
    case AttemptChartAction::OpenConnection:
        actions.emplace_back(attempt::OpenConnection {current(), target_});
        break;
    case AttemptChartAction::MarkMayHaveRun:
        earlierVerdict_ = verdict_;
        verdict_ = std::max(verdict_, core::Verdict::MayHaveRun);
        break;
    case AttemptChartAction::SendRequest:
        actions.emplace_back(attempt::SendRequest {current(), target_, nextOffset_});
        break;
    case AttemptChartAction::CloseConnection:
        actions.emplace_back(attempt::CloseConnection {current()});
        break;
    case AttemptChartAction::ForwardHead:
        // A resumed answer continues the one whose head the caller already has.
        if (!std::exchange(headForwarded_, true))
            actions.emplace_back(attempt::ForwardHead {current()});
        break;
    case AttemptChartAction::ForwardPart:
        if (count_ > 0)
            actions.emplace_back(attempt::ForwardPart {current(), skip_, count_});
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
        actions.emplace_back(attempt::ChooseTarget {failedTargets_});
        break;
    case AttemptChartAction::ReportSuccess:
        actions.emplace_back(attempt::Finish {verdict_, std::nullopt, number_});
        break;
    case AttemptChartAction::ReportFailure:
        actions.emplace_back(attempt::Finish {verdict_, makeFailure(), number_});
        break;
    }
}

core::Error AttemptController::makeFailure() const
{
    return core::Error {failure_, verdict_,
                        "request ended after " + std::to_string(number_) + " attempts",
                        retryAfter_};
}

} // namespace boragerack::decisions
