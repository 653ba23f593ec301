#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/decisions/AttemptChart.h"
#include "boragerack/decisions/AttemptMessages.h"

namespace boragerack::decisions {

/// Target crashes after which a request is not retried; Quarantine uses the same number.
inline constexpr std::uint32_t kMaxTargetCrashes = 2;

/// A refusal is decided this long before the deadline, so that it reaches the caller in time.
inline constexpr std::chrono::milliseconds kRefusalMargin(20);

/// Controls the attempts of one request. The verdict becomes MayHaveRun in the step that sends the
/// request, before the send action is emitted. It is lowered only if the target refuses that
/// attempt and `refusalProvesNotRun` is set.
class AttemptController
{
public:
    using Event = attempt::Event;
    using Action = attempt::Action;

    AttemptController(std::shared_ptr<const AttemptBinding> chart, AttemptParameters parameters);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    AttemptState state() const { return chart_.state(); }
    bool isFinished() const { return chart_.isFinished(); }
    core::Verdict verdict() const { return verdict_; }
    /// The current attempt, or the last one after the end.
    AttemptId current() const { return {parameters_.request, attemptNumber_}; }
    /// Index of the next unit of the answer to forward to the caller: a token of a stream, else a
    /// byte.
    std::uint64_t nextOffset() const { return nextOffset_; }
    /// Time at which to send TimerFired; nullopt while the answer is streaming and after the end.
    std::optional<core::TimePoint> nextTimer() const;

private:
    using Actions = std::vector<Action>;

    void on(const attempt::Dispatch &event, core::TimePoint now, Actions &actions);
    void on(const attempt::DispatchFailed &event, core::TimePoint now, Actions &actions);
    void on(const attempt::Cancel &event, core::TimePoint now, Actions &actions);
    void on(const attempt::TimerFired &event, core::TimePoint now, Actions &actions);
    void on(const attempt::Connected &event, core::TimePoint now, Actions &actions);
    void on(const attempt::ConnectionLost &event, core::TimePoint now, Actions &actions);
    void on(const attempt::TargetRefused &event, core::TimePoint now, Actions &actions);
    void on(const attempt::AnswerStarted &event, core::TimePoint now, Actions &actions);
    void on(const attempt::AnswerPart &event, core::TimePoint now, Actions &actions);
    void on(const attempt::AnswerCompleted &event, core::TimePoint now, Actions &actions);

    bool isCurrent(const AttemptId &attempt) const;
    bool isExpired(core::TimePoint now) const;
    bool isRetryAllowed(core::TimePoint now) const;
    void expire(Actions &actions);
    void handleConnectionLoss(core::ErrorCode code, core::TimePoint now, Actions &actions);
    void fire(AttemptChartEvent event, Actions &actions);
    void perform(AttemptChartAction action, Actions &actions);
    core::Error makeFailure() const;

    AttemptParameters parameters_;
    charts::ChartInstance<AttemptState, AttemptChartEvent, AttemptChartAction> chart_;
    core::Verdict verdict_ = core::Verdict::NotRun;
    /// Verdict before the current attempt was sent.
    core::Verdict verdictBeforeAttempt_ = core::Verdict::NotRun;
    std::uint32_t attemptNumber_ = 0;
    std::uint32_t refusals_ = 0;
    bool wasSent_ = false;
    core::TargetId target_;
    std::vector<core::TargetId> failedTargets_;
    /// Numbers of the attempts during which the target crashed.
    std::set<std::uint32_t> targetCrashes_;
    bool headForwarded_ = false;
    std::uint64_t nextOffset_ = 0;
    std::uint64_t partSkip_ = 0;
    std::uint64_t partCount_ = 0;
    core::TimePoint expiresAt_;
    core::ErrorCode failureCode_ = core::ErrorCode::Internal;
    std::chrono::milliseconds retryAfter_ = {};
};

} // namespace boragerack::decisions
