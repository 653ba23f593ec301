#include "boragerack/decisions/ClaimProtocol.h"

#include <algorithm>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Limits on the doubling of pauses and call timeouts; longer ones are not needed for an outage of
/// minutes.
constexpr std::uint32_t kMaxPauseDoublings = 6;
constexpr std::uint32_t kMaxTimeoutDoublings = 4;

constexpr std::chrono::milliseconds kRetryAfter(1000);

} // namespace

ClaimProtocol::ClaimProtocol(std::shared_ptr<const ClaimBinding> chart, ClaimParameters parameters)
    : parameters_(std::move(parameters))
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
    if (isClaiming() && timerAt_)
        return std::min(*timerAt_, parameters_.deadline);
    return timerAt_;
}

void ClaimProtocol::on(const claim::Begin &, Actions &actions)
{
    if (now_ >= parameters_.deadline)
        abandon(core::ErrorCode::DeadlineExceeded, actions);
    else
        fire(ClaimChartEvent::Begin, actions);
}

void ClaimProtocol::on(const claim::Written &event, Actions &actions)
{
    if (!isPendingCall(event.call))
        return;
    pendingCall_ = 0;
    timerAt_.reset();
    failedCalls_ = 0;
    if (found_)
        found_->version = event.version;
    else
        found_ = StoredClaim {event.version, makeRecord(ClaimPhase::Open)};
    fire(ClaimChartEvent::Written, actions);
}

void ClaimProtocol::on(const claim::Found &event, Actions &actions)
{
    if (!isPendingCall(event.call))
        return;
    pendingCall_ = 0;
    timerAt_.reset();
    failedCalls_ = 0;
    found_ = event.stored;
    fire(classify(event.stored), actions);
}

void ClaimProtocol::on(const claim::CallFailed &event, Actions &actions)
{
    if (isPendingCall(event.call))
        failCall(event.mayHaveTakenEffect, actions);
}

void ClaimProtocol::on(const claim::TimerFired &, Actions &actions)
{
    if (isClaiming() && now_ >= parameters_.deadline)
        abandon(core::ErrorCode::DeadlineExceeded, actions);
    else if (!timerAt_ || now_ < *timerAt_)
        return;
    else if (pendingCall_ != 0)
        failCall(true, actions);
    else {
        timerAt_.reset();
        fire(ClaimChartEvent::PauseEnded, actions);
    }
}

void ClaimProtocol::on(const claim::Cancel &event, Actions &actions)
{
    if (isClaiming())
        abandon(event.code, actions);
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

bool ClaimProtocol::isPendingCall(std::uint64_t call) const
{
    return call != 0 && call == pendingCall_;
}

ClaimChartEvent ClaimProtocol::classify(const std::optional<StoredClaim> &stored) const
{
    if (!stored)
        return ClaimChartEvent::Absent;
    const ClaimRecord &record = stored->record;
    if (record.phase == ClaimPhase::Released)
        return ClaimChartEvent::FoundReleased;
    if (record.writer == parameters_.writer && record.phase == ClaimPhase::Open)
        return ClaimChartEvent::FoundOwn;
    if (record.request != parameters_.request)
        return ClaimChartEvent::FoundMismatch;
    return record.phase == ClaimPhase::Finished ? ClaimChartEvent::FoundOutcome
                                                : ClaimChartEvent::FoundOpen;
}

void ClaimProtocol::failCall(bool mayHaveTakenEffect, Actions &actions)
{
    claimMayExist_ = claimMayExist_ || (mayHaveTakenEffect && pendingCallIsWrite_);
    pendingCall_ = 0;
    timerAt_.reset();
    ++failedCalls_;
    const std::uint32_t limit =
        isClaiming() ? parameters_.maxFailedCalls : parameters_.maxFailedRecordCalls;
    if (failedCalls_ < limit)
        fire(ClaimChartEvent::CallFailed, actions);
    else
        abandon(core::ErrorCode::PlatformUnavailable, actions);
}

void ClaimProtocol::abandon(core::ErrorCode code, Actions &actions)
{
    refusalCode_ = code;
    // An unanswered write may still take effect, so it is treated as if it had.
    claimMayExist_ = claimMayExist_ || (pendingCall_ != 0 && pendingCallIsWrite_);
    pendingCall_ = 0;
    timerAt_.reset();
    failedCalls_ = 0;
    fire(isClaiming() && !claimMayExist_ ? ClaimChartEvent::Refuse : ClaimChartEvent::Abandon,
         actions);
}

void ClaimProtocol::fire(ClaimChartEvent event, Actions &actions)
{
    for (const ClaimChartAction action : chart_.fire(event))
        perform(action, actions);
}

void ClaimProtocol::perform(ClaimChartAction action, Actions &actions)
{
    switch (action) {
    case ClaimChartAction::CreateClaim:
        found_.reset();
        actions.emplace_back(
            claim::CreateClaim {startCall(true), parameters_.key, makeRecord(ClaimPhase::Open)});
        break;
    case ClaimChartAction::CreateReleasedClaim:
        // Once an object exists, a delayed create of the claim cannot take effect.
        actions.emplace_back(claim::CreateClaim {startCall(true), parameters_.key,
                                                 makeRecord(ClaimPhase::Released)});
        break;
    case ClaimChartAction::ReplaceClaim:
        actions.emplace_back(claim::UpdateClaim {startCall(true), parameters_.key, found_->version,
                                                 makeRecord(ClaimPhase::Open)});
        break;
    case ClaimChartAction::RecordOutcome:
        actions.emplace_back(claim::UpdateClaim {startCall(true), parameters_.key, found_->version,
                                                 makeRecord(ClaimPhase::Finished)});
        break;
    case ClaimChartAction::ReleaseClaim:
        actions.emplace_back(claim::UpdateClaim {startCall(true), parameters_.key, found_->version,
                                                 makeRecord(ClaimPhase::Released)});
        break;
    case ClaimChartAction::ReadClaim:
        actions.emplace_back(claim::ReadClaim {startCall(false), parameters_.key});
        break;
    case ClaimChartAction::Pause: {
        const std::uint32_t doublings = std::min(failedCalls_ - 1, kMaxPauseDoublings);
        timerAt_ = now_ + parameters_.pause * (1U << doublings);
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
            refusalCode_, "the request identity could not be claimed", kRetryAfter)});
        break;
    }
}

ClaimRecord ClaimProtocol::makeRecord(ClaimPhase phase) const
{
    return ClaimRecord {parameters_.writer, parameters_.request, phase,
                        phase == ClaimPhase::Finished ? outcome_ : std::nullopt};
}

std::uint64_t ClaimProtocol::startCall(bool isWrite)
{
    pendingCall_ = ++lastCall_;
    pendingCallIsWrite_ = isWrite;
    timerAt_ =
        now_ + parameters_.callTimeout * (1U << std::min(failedCalls_, kMaxTimeoutDoublings));
    return pendingCall_;
}

} // namespace boragerack::decisions
