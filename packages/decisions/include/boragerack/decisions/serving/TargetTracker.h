#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/SwapMessages.h"
#include "boragerack/decisions/serving/TargetOrderChart.h"

namespace boragerack::decisions {

/// An order that a target has got or may still carry out.
struct PendingOrder
{
    swap::SendOrder order;
    /// How long the target needs for it.
    std::chrono::milliseconds duration = {};
    bool isFromStore = false;
    /// The order is taken as done after its duration. If it is not, the next order meets a
    /// conflict, and a request that comes too early is refused without being run.
    bool isDurationCertain = false;
    /// When it should be done; set once the target has accepted it.
    core::TimePoint doneAt = {};

    friend bool operator==(const PendingOrder &, const PendingOrder &) = default;
};

/// What the coordinator knows of one model engine: the weights it holds, the order it carries out,
/// and the number of orders it has accepted. One order is in progress at a time.
class TargetTracker
{
public:
    struct Holding
    {
        std::set<core::AdapterId> adapters;
        core::TimePoint since = {};
    };

    TargetTracker(std::shared_ptr<const TargetOrderBinding> chart, TargetEntry entry,
                  core::TimePoint now);

    /// A newer entry of the instance list; false if the process has restarted.
    bool updateEntry(const TargetEntry &entry, core::TimePoint now);
    void answer(swap::OrderOutcome outcome, core::TimePoint now);
    void report(const std::optional<TargetReport> &report, core::TimePoint now);

    /// The question for a report that is due, if any.
    std::optional<swap::RequestTargetReport> nextReportRequest(core::TimePoint now);
    /// Finishes orders whose end needs no report, and gives up those that are overdue.
    void tick(core::TimePoint now);

    swap::SendOrder begin(PendingOrder order);

    const TargetEntry &entry() const { return entry_; }
    const std::map<core::ModelId, Holding> &holdings() const { return holdings_; }
    const std::optional<PendingOrder> &pending() const { return pending_; }
    bool isIdle(core::TimePoint now) const;
    /// A question for a report, or an order, has not been answered yet.
    bool isReportPending() const { return isQuestionOpen_; }
    bool isOrderOpen() const { return chart_.state() == TargetOrderState::AwaitingAnswer; }
    /// The model is held and no order to unload it has been given.
    bool serves(const core::ModelId &model) const;
    bool servesAdapter(const Artifact &artifact) const;
    bool isLoading(const core::ModelId &model) const;
    std::vector<Artifact> servedArtifacts() const;
    /// Grows when the served artifacts change.
    std::uint64_t changes() const { return changes_; }

private:
    void fire(TargetOrderChartEvent trigger, core::TimePoint now);
    void apply(core::TimePoint now);
    void adopt(const std::vector<ModelReplica> &replicas, std::uint64_t sequence,
               core::TimePoint now);
    bool isEffectVisible(const std::vector<ModelReplica> &replicas) const;

    TargetEntry entry_;
    charts::ChartInstance<TargetOrderState, TargetOrderChartEvent, TargetOrderChartAction> chart_;
    std::uint64_t sequence_ = 0;
    std::map<core::ModelId, Holding> holdings_;
    std::optional<PendingOrder> pending_;
    core::TimePoint askAt_ = {};
    bool isQuestionOpen_ = false;
    core::TimePoint avoidUntil_ = {};
    int conflicts_ = 0;
    std::uint64_t changes_ = 1;
};

} // namespace boragerack::decisions
