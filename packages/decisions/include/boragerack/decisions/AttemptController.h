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

/// Deaths of targets after which a request is not tried again; Quarantine uses the same number.
inline constexpr std::uint32_t kMaxTargetCrashes = 2;

/// A refusal is decided this long before the deadline, so that it reaches the caller in time.
inline constexpr std::chrono::milliseconds kRefusalMargin(20);

/// Decides the attempts of one request. The verdict becomes MayHaveRun in the step that sends the
/// request, before the send action is given out. It falls only if the target of that attempt states
/// that it has not run the request and never will, and the plan says that such a word is proof.
class AttemptController
{
public:
    using Event = attempt::Event;
    using Action = attempt::Action;

    AttemptController(std::shared_ptr<const AttemptBinding> chart, AttemptParameters plan);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    AttemptState state() const { return chart_.state(); }
    bool isFinished() const { return chart_.isFinished(); }
    core::Verdict verdict() const { return verdict_; }
    /// Attempt that is under way or was last.
    AttemptId current() const { return {plan_.request, number_}; }
    /// First unit of the answer that the caller lacks.
    std::uint64_t nextOffset() const { return nextOffset_; }
    /// When to send TimerFired; nothing while the answer is arriving or after the end.
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
    void loseConnection(core::ErrorCode code, core::TimePoint now, Actions &actions);
    void fire(AttemptChartEvent trigger, Actions &actions);
    void perform(AttemptChartAction step, Actions &actions);
    core::Error makeFailure() const;

    AttemptParameters plan_;
    charts::ChartInstance<AttemptState, AttemptChartEvent, AttemptChartAction> chart_;
    core::Verdict verdict_ = core::Verdict::NotRun;
    /// Verdict before the current attempt was sent.
    core::Verdict earlierVerdict_ = core::Verdict::NotRun;
    std::uint32_t number_ = 0;
    std::uint32_t refusals_ = 0;
    core::TargetId target_;
    std::vector<core::TargetId> failedTargets_;
    /// Numbers of the attempts that their targets did not survive.
    std::set<std::uint32_t> targetDeaths_;
    bool headForwarded_ = false;
    std::uint64_t nextOffset_ = 0;
    std::uint64_t skip_ = 0;
    std::uint64_t count_ = 0;
    core::TimePoint waitLimit_;
    core::ErrorCode failure_ = core::ErrorCode::Internal;
    std::chrono::milliseconds retryAfter_ = {};
};

} // namespace boragerack::decisions
