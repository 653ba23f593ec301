#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/decisions/ClaimChart.h"
#include "boragerack/decisions/ClaimMessages.h"

namespace boragerack::decisions {

/// Claims one request identity in the platform before the request is sent, and records the outcome
/// afterwards. Emits exactly one of Grant, Replay and Refuse.
///
/// An open claim is never taken over, because a writer that appears to have failed may still send
/// the request. A writer that has sent nothing and will not send releases its claim, so that a
/// repeat can run.
class ClaimProtocol
{
public:
    using Event = claim::Event;
    using Action = claim::Action;

    ClaimProtocol(std::shared_ptr<const ClaimBinding> chart, ClaimParameters parameters);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    ClaimState state() const { return chart_.state(); }
    bool isFinished() const { return chart_.isFinished(); }
    /// Time at which to send TimerFired; nullopt if no timer is set.
    std::optional<core::TimePoint> nextTimer() const;

private:
    using Actions = std::vector<Action>;

    void on(const claim::Begin &event, Actions &actions);
    void on(const claim::Written &event, Actions &actions);
    void on(const claim::Found &event, Actions &actions);
    void on(const claim::CallFailed &event, Actions &actions);
    void on(const claim::TimerFired &event, Actions &actions);
    void on(const claim::Cancel &event, Actions &actions);
    void on(const claim::Finished &event, Actions &actions);

    bool isPendingCall(std::uint64_t call) const;
    bool isClaiming() const { return chart_.accepts(ClaimChartEvent::Refuse); }
    ClaimChartEvent classify(const std::optional<StoredClaim> &stored) const;
    void failCall(bool mayHaveTakenEffect, Actions &actions);
    void abandon(core::ErrorCode code, Actions &actions);
    void fire(ClaimChartEvent event, Actions &actions);
    void perform(ClaimChartAction action, Actions &actions);
    ClaimRecord makeRecord(ClaimPhase phase) const;
    std::uint64_t startCall(bool isWrite);

    ClaimParameters parameters_;
    charts::ChartInstance<ClaimState, ClaimChartEvent, ClaimChartAction> chart_;
    core::TimePoint now_ = {};
    std::uint64_t lastCall_ = 0;
    /// Number of the unanswered call; zero if there is none.
    std::uint64_t pendingCall_ = 0;
    bool pendingCallIsWrite_ = false;
    std::optional<core::TimePoint> timerAt_;
    /// An earlier write of this claim may have taken effect in the platform or may still do so.
    bool claimMayExist_ = false;
    std::uint32_t failedCalls_ = 0;
    std::optional<StoredClaim> found_;
    std::optional<ClaimOutcome> outcome_;
    core::ErrorCode refusalCode_ = core::ErrorCode::PlatformUnavailable;
};

} // namespace boragerack::decisions
