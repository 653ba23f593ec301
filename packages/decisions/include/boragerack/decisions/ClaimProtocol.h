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
/// afterwards. Exactly one of Grant, Replay and Refuse is given out.
///
/// A claim that its writer left open is never taken over, because a writer that seems dead may
/// still send. A writer that has sent nothing and will not send releases its claim, which lets a
/// repeat run.
class ClaimProtocol
{
public:
    using Event = claim::Event;
    using Action = claim::Action;

    ClaimProtocol(std::shared_ptr<const ClaimBinding> chart, ClaimParameters plan);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    ClaimState state() const { return chart_.state(); }
    bool isFinished() const { return chart_.isFinished(); }
    /// When to send TimerFired.
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

    bool isWaitedFor(std::uint64_t call) const;
    bool isClaiming() const { return chart_.accepts(ClaimChartEvent::Refuse); }
    ClaimChartEvent classify(const std::optional<StoredClaim> &stored) const;
    void failCall(bool mayHaveTakenEffect, Actions &actions);
    void giveUp(core::ErrorCode code, Actions &actions);
    void fire(ClaimChartEvent trigger, Actions &actions);
    void perform(ClaimChartAction step, Actions &actions);
    ClaimRecord makeRecord(ClaimPhase phase) const;
    std::uint64_t startCall(bool isWrite);

    ClaimParameters plan_;
    charts::ChartInstance<ClaimState, ClaimChartEvent, ClaimChartAction> chart_;
    core::TimePoint now_ = {};
    std::uint64_t lastCall_ = 0;
    /// Number of the unanswered call, zero when there is none.
    std::uint64_t openCall_ = 0;
    bool openCallWrites_ = false;
    std::optional<core::TimePoint> wakeAt_;
    /// An earlier write of this claim may still appear in the platform.
    bool mayExist_ = false;
    std::uint32_t failedCalls_ = 0;
    std::optional<StoredClaim> found_;
    std::optional<ClaimOutcome> outcome_;
    core::ErrorCode refusal_ = core::ErrorCode::PlatformUnavailable;
};

} // namespace boragerack::decisions
