#include "boragerack/decisions/ClaimProtocol.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

namespace {

/// The doubling of pauses and call timeouts ends here; an outage of minutes needs no longer ones.
constexpr std::uint32_t kMaxPauseDoublings = 6;
constexpr std::uint32_t kMaxTimeoutDoublings = 4;

constexpr std::chrono::milliseconds kRetryAfter(1000);

} // namespace

ClaimProtocol::ClaimProtocol(std::shared_ptr<const ClaimBinding> chart, ClaimParameters plan)
    : plan_(std::move(plan))
    , chart_(std::move(chart))
{
}

std::vector<ClaimProtocol::Action> ClaimProtocol::handle(const Event &event, core::TimePoint now)
{
    now_ = now;
    Actions actions;
    std::visit([&](const auto &concrete) { on(concrete, actions); }, event);
    return actions;
}

std::optional<core::TimePoint> ClaimProtocol::nextTimer() const
{
    if (isClaiming() && wakeAt_)
        return std::min(*wakeAt_, plan_.deadline);
    return wakeAt_;
}

void ClaimProtocol::on(const claim::Begin &, Actions &actions)
{
    if (now_ >= plan_.deadline)
        giveUp(core::ErrorCode::DeadlineExceeded, actions);
    else
        fire(ClaimChartEvent::Begin, actions);
}

void ClaimProtocol::on(const claim::Written &event, Actions &actions)
{
    if (!isWaitedFor(event.call))
        return;
    openCall_ = 0;
    wakeAt_.reset();
    failedCalls_ = 0;
    if (found_)
        found_->version = event.version;
    else
        found_ = StoredClaim {event.version, makeRecord(ClaimPhase::Open)};
    fire(ClaimChartEvent::Written, actions);
}

void ClaimProtocol::on(const claim::Found &event, Actions &actions)
{
    if (!isWaitedFor(event.call))
        return;
    openCall_ = 0;
    wakeAt_.reset();
    failedCalls_ = 0;
    found_ = event.stored;
    fire(classify(event.stored), actions);
}

void ClaimProtocol::on(const claim::CallFailed &event, Actions &actions)
{
    if (isWaitedFor(event.call))
        failCall(event.mayHaveTakenEffect, actions);
}

void ClaimProtocol::on(const claim::TimerFired &, Actions &actions)
{
    if (isClaiming() && now_ >= plan_.deadline)
        giveUp(core::ErrorCode::DeadlineExceeded, actions);
    else if (!wakeAt_ || now_ < *wakeAt_)
        return;
    else if (openCall_ != 0)
        failCall(true, actions);
    else {
        wakeAt_.reset();
        fire(ClaimChartEvent::PauseEnded, actions);
    }
}

void ClaimProtocol::on(const claim::Cancel &event, Actions &actions)
{
    if (isClaiming())
        giveUp(event.code, actions);
}

void ClaimProtocol::on(const claim::Finished &event, Actions &actions)
{
    if (!chart_.accepts(ClaimChartEvent::Finished))
        return;
    outcome_ = event.outcome;
    fire(event.outcome.verdict == core::Verdict::NotRun ? ClaimChartEvent::FinishedNotRun
                                                        : ClaimChartEvent::Finished,
         actions);
}

bool ClaimProtocol::isWaitedFor(std::uint64_t call) const
{
    return call != 0 && call == openCall_;
}

ClaimChartEvent ClaimProtocol::classify(const std::optional<StoredClaim> &stored) const
{
    if (!stored)
        return ClaimChartEvent::Absent;
    const ClaimRecord &record = stored->record;
    if (record.phase == ClaimPhase::Released)
        return ClaimChartEvent::FoundReleased;
    if (record.writer == plan_.writer && record.phase == ClaimPhase::Open)
        return ClaimChartEvent::FoundOwn;
    if (record.request != plan_.request)
        return ClaimChartEvent::FoundMismatch;
    return record.phase == ClaimPhase::Finished ? ClaimChartEvent::FoundOutcome
                                                : ClaimChartEvent::FoundOpen;
}

void ClaimProtocol::failCall(bool mayHaveTakenEffect, Actions &actions)
{
    mayExist_ = mayExist_ || (mayHaveTakenEffect && openCallWrites_);
    openCall_ = 0;
    wakeAt_.reset();
    ++failedCalls_;
    const std::uint32_t limit = isClaiming() ? plan_.maxFailedCalls : plan_.maxFailedRecordCalls;
    if (failedCalls_ < limit)
        fire(ClaimChartEvent::CallFailed, actions);
    else
        giveUp(core::ErrorCode::PlatformUnavailable, actions);
}

void ClaimProtocol::giveUp(core::ErrorCode code, Actions &actions)
{
    refusal_ = code;
    // A write without an answer may take effect later, so it counts like one that has.
    mayExist_ = mayExist_ || (openCall_ != 0 && openCallWrites_);
    openCall_ = 0;
    wakeAt_.reset();
    failedCalls_ = 0;
    fire(isClaiming() && !mayExist_ ? ClaimChartEvent::Refuse : ClaimChartEvent::Abandon, actions);
}

void ClaimProtocol::fire(ClaimChartEvent trigger, Actions &actions)
{
    for (const ClaimChartAction step : chart_.fire(trigger))
        perform(step, actions);
}

void ClaimProtocol::perform(ClaimChartAction step, Actions &actions)
{
    switch (step) {
    case ClaimChartAction::CreateClaim:
        found_.reset();
        actions.emplace_back(
            claim::CreateClaim {startCall(true), plan_.key, makeRecord(ClaimPhase::Open)});
        break;
    case ClaimChartAction::CreateReleasedClaim:
        // An object that exists keeps a delayed create of the claim from taking effect.
        actions.emplace_back(
            claim::CreateClaim {startCall(true), plan_.key, makeRecord(ClaimPhase::Released)});
        break;
    case ClaimChartAction::ReplaceClaim:
        actions.emplace_back(claim::UpdateClaim {startCall(true), plan_.key, found_->version,
                                                 makeRecord(ClaimPhase::Open)});
        break;
    case ClaimChartAction::RecordOutcome:
        actions.emplace_back(claim::UpdateClaim {startCall(true), plan_.key, found_->version,
                                                 makeRecord(ClaimPhase::Finished)});
        break;
    case ClaimChartAction::ReleaseClaim:
        actions.emplace_back(claim::UpdateClaim {startCall(true), plan_.key, found_->version,
                                                 makeRecord(ClaimPhase::Released)});
        break;
    case ClaimChartAction::ReadClaim:
        actions.emplace_back(claim::ReadClaim {startCall(false), plan_.key});
        break;
    case ClaimChartAction::Pause: {
        const std::uint32_t doublings = std::min(failedCalls_ - 1, kMaxPauseDoublings);
        wakeAt_ = now_ + plan_.pause * (1U << doublings);
        break;
    }
    case ClaimChartAction::GrantClaim:
        actions.emplace_back(claim::Grant {});
        break;
    case ClaimChartAction::ReportOutcome:
        actions.emplace_back(claim::Replay {*found_->record.outcome});
        break;
    case ClaimChartAction::ReportMayHaveRun:
        actions.emplace_back(claim::Refuse {core::Error {
            core::ErrorCode::DuplicateRequest, core::Verdict::MayHaveRun,
            "the request has been accepted before; its outcome is not known", kRetryAfter}});
        break;
    case ClaimChartAction::ReportMismatch:
        actions.emplace_back(claim::Refuse {core::makeNotRunError(
            core::ErrorCode::Conflict, "the idempotency key belongs to a different request")});
        break;
    case ClaimChartAction::ReportRefusal:
        actions.emplace_back(claim::Refuse {core::makeNotRunError(
            refusal_, "the request identity could not be claimed", kRetryAfter)});
        break;
    }
}

ClaimRecord ClaimProtocol::makeRecord(ClaimPhase phase) const
{
    return ClaimRecord {plan_.writer, plan_.request, phase,
                        phase == ClaimPhase::Finished ? outcome_ : std::nullopt};
}

std::uint64_t ClaimProtocol::startCall(bool isWrite)
{
    openCall_ = ++lastCall_;
    openCallWrites_ = isWrite;
    wakeAt_ = now_ + plan_.callTimeout * (1U << std::min(failedCalls_, kMaxTimeoutDoublings));
    return openCall_;
}

} // namespace boragerack::decisions
