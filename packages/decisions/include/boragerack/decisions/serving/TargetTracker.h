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

/// An order that a target has received or may still execute.
struct PendingOrder
{
    swap::SendOrder order;
    /// Expected execution time.
    std::chrono::milliseconds duration = {};
    bool isFromStore = false;
    /// The order is assumed to be done after its duration. If it is not, the next order for a model
    /// conflicts, and the target refuses requests that arrive too early without executing them. Not
    /// for unloads of adapters, which wait for the requests that use them without a conflict.
    bool isDurationCertain = false;
    /// Expected completion time; set when the target accepts the order.
    core::TimePoint doneAt = {};

    friend bool operator==(const PendingOrder &, const PendingOrder &) = default;
};

/// The coordinator's view of one model engine: the weights it holds, the order in progress, and the
/// number of orders it has accepted. At most one order is in progress.
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

    /// Applies a newer entry of the instance list; false if the process has restarted.
    bool updateEntry(const TargetEntry &entry, core::TimePoint now);
    void answer(swap::OrderOutcome outcome, core::TimePoint now);
    void report(const std::optional<TargetReport> &report, core::TimePoint now);

    /// The report request that is due, if any.
    std::optional<swap::RequestTargetReport> nextReportRequest(core::TimePoint now);
    /// Completes orders that need no report, and abandons overdue ones.
    void tick(core::TimePoint now);

    swap::SendOrder begin(PendingOrder order);

    const TargetEntry &entry() const { return entry_; }
    const std::map<core::ModelId, Holding> &holdings() const { return holdings_; }
    const std::optional<PendingOrder> &pending() const { return pending_; }
    bool isIdle(core::TimePoint now) const;
    /// A report request has no response so far.
    bool isReportPending() const { return isReportRequested_; }
    /// An order has no response so far.
    bool isOrderOpen() const { return chart_.state() == TargetOrderState::AwaitingAnswer; }
    /// The model is held and no order to unload it is pending.
    bool serves(const core::ModelId &model) const;
    bool servesAdapter(const Artifact &artifact) const;
    bool isLoading(const core::ModelId &model) const;
    /// The target unloads the adapter when the requests that use it end; until then it occupies an
    /// adapter slot.
    bool isUnloading(const Artifact &adapter) const { return unloading_.contains(adapter); }
    /// The adapter may still be in transit. An order to unload it could overtake it, and it would
    /// then arrive all the same.
    bool isArriving(const Artifact &adapter) const { return arriving_.contains(adapter); }
    /// Requests a report because an order depends on whether such an adapter has arrived.
    void requestProof() { isProofWanted_ = !arriving_.empty(); }
    std::size_t unloadingAdapters() const { return unloading_.size(); }
    /// The unload of a model counts as done, but neither a later order nor a report has proved it.
    bool isUnloadAssumed() const { return isUnloadAssumed_; }
    std::vector<Artifact> servedArtifacts() const;
    /// Increases when the served artifacts may have changed.
    std::uint64_t changes() const { return changes_; }

private:
    void accept(core::TimePoint now);
    void fire(TargetOrderChartEvent event, core::TimePoint now);
    void apply(core::TimePoint now);
    void adopt(const std::vector<ModelReplica> &replicas, core::TimePoint now);
    void adopt(const TargetReport &report, core::TimePoint now);
    /// Something that counts as done, or as in progress, remains to be proved by a report.
    bool needsProof() const { return isUnloadAssumed_ || isProofWanted_ || !unloading_.empty(); }
    bool isEffectVisible(const std::vector<ModelReplica> &replicas) const;

    TargetEntry entry_;
    charts::ChartInstance<TargetOrderState, TargetOrderChartEvent, TargetOrderChartAction> chart_;
    std::uint64_t sequence_ = 0;
    core::TimePoint acceptedAt_ = {};
    std::map<core::ModelId, Holding> holdings_;
    std::optional<PendingOrder> pending_;
    std::set<Artifact> unloading_;
    std::set<Artifact> arriving_;
    bool isProofWanted_ = false;
    bool isUnloadAssumed_ = false;
    core::TimePoint nextReportRequestAt_ = {};
    bool isReportRequested_ = false;
    core::TimePoint noOrdersUntil_ = {};
    int conflicts_ = 0;
    std::uint64_t changes_ = 1;
};

} // namespace boragerack::decisions
