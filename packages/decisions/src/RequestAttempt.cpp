#include "boragerack/decisions/RequestAttempt.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

RequestAttempt::RequestAttempt(std::shared_ptr<const AttemptBinding> chart, AttemptPlan plan)
    : plan_(std::move(plan))
    , chart_(std::move(chart))
    , waitLimit_(plan_.deadline - kRefusalMargin)
{
}

std::vector<RequestAttempt::Action> RequestAttempt::handle(const Event &event, core::TimePoint now)
{
    Actions actions;
    std::visit([&](const auto &concrete) { on(concrete, now, actions); }, event);
    return actions;
}

std::optional<core::TimePoint> RequestAttempt::waitUntil() const
{
    if (!chart_.accepts(AttemptTrigger::Expire))
        return std::nullopt;
    return waitLimit_;
}

void RequestAttempt::on(const attempt::Dispatch &event, core::TimePoint now, Actions &actions)
{
    if (!chart_.accepts(AttemptTrigger::Dispatch))
        return;
    if (isExpired(now)) {
        expire(actions);
        return;
    }
    ++number_;
    target_ = event.target;
    fire(AttemptTrigger::Dispatch, actions);
}

void RequestAttempt::on(const attempt::Refuse &event, core::TimePoint, Actions &actions)
{
    if (!chart_.accepts(AttemptTrigger::Refuse))
        return;
    failure_ = event.code;
    retryAfter_ = event.retryAfter;
    fire(AttemptTrigger::Refuse, actions);
}

void RequestAttempt::on(const attempt::Cancel &event, core::TimePoint, Actions &actions)
{
    if (!chart_.accepts(AttemptTrigger::Cancel))
        return;
    failure_ = event.code;
    fire(AttemptTrigger::Cancel, actions);
}

void RequestAttempt::on(const attempt::TimerFired &, core::TimePoint now, Actions &actions)
{
    if (chart_.accepts(AttemptTrigger::Expire) && isExpired(now))
        expire(actions);
}

void RequestAttempt::on(const attempt::Connected &event, core::TimePoint now, Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptTrigger::Connected))
        return;
    if (isExpired(now))
        expire(actions);
    else
        fire(AttemptTrigger::Connected, actions);
}

void RequestAttempt::on(const attempt::ConnectionLost &event, core::TimePoint now, Actions &actions)
{
    // A death that is only known after the connection was given up still counts.
    if (event.targetDied && event.attempt.request == plan_.request)
        targetDeaths_.insert(event.attempt.number);
    if (isCurrent(event.attempt))
        loseConnection(core::ErrorCode::ConnectionFailed, now, actions);
}

void RequestAttempt::on(const attempt::TargetRefused &event, core::TimePoint now, Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptTrigger::TargetRefused))
        return;
    failure_ = core::ErrorCode::TargetFailed;
    failedTargets_.push_back(target_);
    ++refusals_;
    if (plan_.refusalProvesNotRun)
        verdict_ = earlierVerdict_;
    fire(AttemptTrigger::TargetRefused, actions);
    fire(isRetryAllowed(now) ? AttemptTrigger::RetryAllowed : AttemptTrigger::RetryDenied, actions);
}

void RequestAttempt::on(const attempt::AnswerStarted &event, core::TimePoint now, Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptTrigger::AnswerStarted)) {
        actions.emplace_back(attempt::DiscardAnswer {event.attempt});
        return;
    }
    // The connection carries the answer to something else, so nothing later on it can be trusted.
    if (event.echoed ? !isCurrent(*event.echoed) : plan_.echoesAttempt) {
        actions.emplace_back(attempt::DiscardAnswer {event.echoed.value_or(event.attempt)});
        loseConnection(core::ErrorCode::ProtocolViolation, now, actions);
        return;
    }
    fire(AttemptTrigger::AnswerStarted, actions);
}

void RequestAttempt::on(const attempt::AnswerPart &event, core::TimePoint now, Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptTrigger::AnswerPart)) {
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
    fire(AttemptTrigger::AnswerPart, actions);
}

void RequestAttempt::on(const attempt::AnswerCompleted &event, core::TimePoint now,
                        Actions &actions)
{
    if (!isCurrent(event.attempt) || !chart_.accepts(AttemptTrigger::AnswerCompleted)) {
        actions.emplace_back(attempt::DiscardAnswer {event.attempt});
        return;
    }
    if (event.length != nextOffset_)
        loseConnection(core::ErrorCode::ProtocolViolation, now, actions);
    else
        fire(AttemptTrigger::AnswerCompleted, actions);
}

bool RequestAttempt::isCurrent(const AttemptId &attempt) const
{
    return attempt.number == number_ && attempt.request == plan_.request;
}

bool RequestAttempt::isExpired(core::TimePoint now) const
{
    return now >= waitLimit_;
}

bool RequestAttempt::isRetryAllowed(core::TimePoint now) const
{
    const std::uint32_t counted = number_ - std::min(refusals_, plan_.maxRefusals);
    if (counted >= plan_.maxAttempts || targetDeaths_.size() >= kMaxTargetDeaths || isExpired(now))
        return false;
    if (verdict_ == core::Verdict::NotRun)
        return true;
    return plan_.policy == SendPolicy::Repeatable && (!headForwarded_ || plan_.canResume);
}

void RequestAttempt::expire(Actions &actions)
{
    failure_ = core::ErrorCode::DeadlineExceeded;
    fire(AttemptTrigger::Expire, actions);
}

void RequestAttempt::loseConnection(core::ErrorCode code, core::TimePoint now, Actions &actions)
{
    if (!chart_.accepts(AttemptTrigger::ConnectionLost))
        return;
    failure_ = code;
    failedTargets_.push_back(target_);
    // A connection that could not be opened has carried nothing, so it counts like a refusal.
    if (chart_.state() == AttemptState::Connecting)
        ++refusals_;
    if (headForwarded_)
        waitLimit_ = std::max(waitLimit_, now + plan_.resumeWait);
    fire(AttemptTrigger::ConnectionLost, actions);
    fire(isRetryAllowed(now) ? AttemptTrigger::RetryAllowed : AttemptTrigger::RetryDenied, actions);
}

void RequestAttempt::fire(AttemptTrigger trigger, Actions &actions)
{
    for (const AttemptStep step : chart_.fire(trigger))
        perform(step, actions);
}

void RequestAttempt::perform(AttemptStep step, Actions &actions)
{
    switch (step) {
    case AttemptStep::OpenConnection:
        actions.emplace_back(attempt::OpenConnection {current(), target_});
        break;
    case AttemptStep::RaiseMayHaveRun:
        earlierVerdict_ = verdict_;
        verdict_ = std::max(verdict_, core::Verdict::MayHaveRun);
        break;
    case AttemptStep::SendRequest:
        actions.emplace_back(attempt::SendRequest {current(), target_, nextOffset_});
        break;
    case AttemptStep::CloseConnection:
        actions.emplace_back(attempt::CloseConnection {current()});
        break;
    case AttemptStep::ForwardHead:
        // A resumed answer continues the one whose head the caller already has.
        if (!std::exchange(headForwarded_, true))
            actions.emplace_back(attempt::ForwardHead {current()});
        break;
    case AttemptStep::ForwardPart:
        if (count_ > 0)
            actions.emplace_back(attempt::ForwardPart {current(), skip_, count_});
        break;
    case AttemptStep::CancelOnTarget:
        actions.emplace_back(attempt::CancelOnTarget {current(), target_});
        break;
    case AttemptStep::RaiseRan:
        verdict_ = core::Verdict::Ran;
        break;
    case AttemptStep::ReleaseConnection:
        actions.emplace_back(attempt::ReleaseConnection {current()});
        break;
    case AttemptStep::ChooseTarget:
        actions.emplace_back(attempt::ChooseTarget {failedTargets_});
        break;
    case AttemptStep::ReportSuccess:
        actions.emplace_back(attempt::Finish {verdict_, std::nullopt, number_});
        break;
    case AttemptStep::ReportFailure:
        actions.emplace_back(attempt::Finish {verdict_, makeFailure(), number_});
        break;
    }
}

core::Error RequestAttempt::makeFailure() const
{
    return core::Error {failure_, verdict_,
                        "request ended after " + std::to_string(number_) + " attempts",
                        retryAfter_};
}

} // namespace boragerack::decisions
