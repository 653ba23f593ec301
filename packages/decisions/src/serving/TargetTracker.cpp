#include "boragerack/decisions/serving/TargetTracker.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// Maximum age of the state in a report; an order is reflected in reports after this time.
constexpr std::chrono::milliseconds kMaxReportLag(250);
/// Delay before the retry of an order after a conflict, and the number of consecutive conflicts
/// after which a report is requested instead.
constexpr std::chrono::milliseconds kConflictRetryDelay(50);
constexpr int kMaxConsecutiveConflicts = 4;
/// Interval between report requests to a target whose order should be done.
constexpr std::chrono::milliseconds kReportInterval(100);
/// A report with a lower count of orders may be older than the last order for this long after it.
constexpr std::chrono::milliseconds kMaxOutdatedTime(1000);
/// Interval between reports that are to prove an unload which the target has accepted.
constexpr std::chrono::milliseconds kProofInterval(500);
/// Delay after a report request without a response, or after an order that could not be sent.
constexpr std::chrono::milliseconds kRetryDelay(400);
/// No orders are sent to a target for this time after it rejected one.
constexpr std::chrono::milliseconds kRejectionDelay(2000);
/// An accepted order is abandoned if it has had no effect for this long after its expected
/// completion time.
constexpr std::chrono::milliseconds kOverdueTimeout(15000);

} // namespace

TargetTracker::TargetTracker(std::shared_ptr<const TargetOrderBinding> chart, TargetEntry entry,
                             core::TimePoint now)
    : entry_(std::move(entry))
    , chart_(std::move(chart))
    , nextReportRequestAt_(now)
{
    adopt(entry_.replicas, now);
}

bool TargetTracker::updateEntry(const TargetEntry &entry, core::TimePoint now)
{
    if (entry.startedAt != entry_.startedAt || entry.address != entry_.address)
        return false;
    entry_ = entry;
    // Entries lag behind and do not contain the order sequence, so only the appearance of a model
    // that was not held before is conclusive.
    if (chart_.state() == TargetOrderState::Executing
        && pending_->order.kind == swap::OrderKind::Load && isEffectVisible(entry.replicas))
        fire(TargetOrderChartEvent::Finished, now);
    return true;
}

void TargetTracker::answer(swap::OrderOutcome outcome, core::TimePoint now)
{
    switch (outcome) {
    case swap::OrderOutcome::Accepted:
        accept(now);
        break;
    case swap::OrderOutcome::AlreadyHeld:
        // The response to an unload that takes effect at once; it counts as an accepted order.
        if (pending_->order.kind == swap::OrderKind::Unload)
            ++sequence_;
        fire(TargetOrderChartEvent::AlreadyHeld, now);
        break;
    case swap::OrderOutcome::NotSent:
        fire(TargetOrderChartEvent::NotSent, now);
        pending_.reset();
        ++changes_;
        noOrdersUntil_ = now + kRetryDelay;
        break;
    case swap::OrderOutcome::Rejected:
        noOrdersUntil_ = now + kRejectionDelay;
        [[fallthrough]];
    case swap::OrderOutcome::Conflict:
        pending_.reset();
        ++changes_;
        // The previous order may take a little longer than expected. Reports lag behind, so the
        // order is retried before a report is requested.
        if (outcome == swap::OrderOutcome::Conflict && ++conflicts_ < kMaxConsecutiveConflicts) {
            noOrdersUntil_ = now + kConflictRetryDelay;
            fire(TargetOrderChartEvent::Busy, now);
            break;
        }
        conflicts_ = 0;
        nextReportRequestAt_ = now + kMaxReportLag;
        fire(TargetOrderChartEvent::Refused, now);
        break;
    case swap::OrderOutcome::Unknown:
        // The memory for the order remains reserved until a report shows its outcome.
        fire(TargetOrderChartEvent::Lost, now);
        nextReportRequestAt_ = now + kMaxReportLag;
        break;
    }
}

void TargetTracker::accept(core::TimePoint now)
{
    conflicts_ = 0;
    ++sequence_;
    acceptedAt_ = now;
    const swap::SendOrder &order = pending_->order;
    if (order.kind == swap::OrderKind::Unload && order.artifact.isAdapter()) {
        // Requests use the adapter. It occupies its slot until a report no longer lists it.
        unloading_.insert(order.artifact);
        pending_.reset();
        ++changes_;
        nextReportRequestAt_ = now + kMaxReportLag;
        fire(TargetOrderChartEvent::Deferred, now);
        return;
    }
    // A target accepts an order for a model only if no other one is in progress.
    isUnloadAssumed_ = isUnloadAssumed_ && order.artifact.isAdapter();
    pending_->doneAt = now + pending_->duration;
    nextReportRequestAt_ = pending_->doneAt + kMaxReportLag;
    fire(TargetOrderChartEvent::Accepted, now);
}

void TargetTracker::report(const std::optional<TargetReport> &report, core::TimePoint now)
{
    isReportRequested_ = false;
    if (!report || report->startedAt != entry_.startedAt) {
        nextReportRequestAt_ = now + kRetryDelay;
        fire(TargetOrderChartEvent::Unanswered, now);
        return;
    }
    if (chart_.state() == TargetOrderState::Executing) {
        nextReportRequestAt_ = now + kReportInterval;
        if (report->orderSequence >= sequence_ && !report->isBusy
            && isEffectVisible(report->replicas)) {
            fire(TargetOrderChartEvent::Finished, now);
            adopt(*report, now);
        }
        return;
    }
    // An order was sent after the report had been requested.
    if (chart_.state() == TargetOrderState::AwaitingAnswer)
        return;
    // A report with a lower count precedes the last order. After some time the count of this
    // tracker must be wrong instead.
    const bool isOutdated = chart_.state() == TargetOrderState::Idle
        && report->orderSequence < sequence_ && now - acceptedAt_ < kMaxOutdatedTime;
    if (report->isBusy || isOutdated) {
        nextReportRequestAt_ = now + kReportInterval;
        fire(TargetOrderChartEvent::ReportedBusy, now);
        return;
    }
    const std::vector<Artifact> served = servedArtifacts();
    // An order without a response has been executed, or it will fail after the next order, because
    // both expect the same sequence.
    pending_.reset();
    fire(TargetOrderChartEvent::Reported, now);
    adopt(*report, now);
    // All nodes receive each change.
    if (servedArtifacts() != served)
        ++changes_;
    nextReportRequestAt_ = now + kProofInterval;
}

std::optional<swap::RequestTargetReport> TargetTracker::nextReportRequest(core::TimePoint now)
{
    if (isReportRequested_ || now < nextReportRequestAt_)
        return std::nullopt;
    const bool isDue = chart_.state() == TargetOrderState::Unknown
        || (chart_.state() == TargetOrderState::Executing && !pending_->isDurationCertain)
        || (chart_.state() == TargetOrderState::Idle && needsProof());
    if (!isDue)
        return std::nullopt;
    fire(TargetOrderChartEvent::RequestReport, now);
    isReportRequested_ = true;
    return swap::RequestTargetReport {entry_.target, entry_.address};
}

void TargetTracker::tick(core::TimePoint now)
{
    if (chart_.state() != TargetOrderState::Executing)
        return;
    if (pending_->isDurationCertain) {
        if (now < pending_->doneAt)
            return;
        if (pending_->order.kind == swap::OrderKind::Unload)
            isUnloadAssumed_ = true;
        else if (pending_->order.artifact.isAdapter())
            arriving_.insert(pending_->order.artifact);
        nextReportRequestAt_ = now + kMaxReportLag;
        fire(TargetOrderChartEvent::Finished, now);
    } else if (now >= pending_->doneAt + kOverdueTimeout) {
        fire(TargetOrderChartEvent::Overdue, now);
        nextReportRequestAt_ = now;
    }
}

swap::SendOrder TargetTracker::begin(PendingOrder order)
{
    order.order.expectedSequence = sequence_;
    pending_ = std::move(order);
    // An artifact that is being unloaded is no longer served.
    ++changes_;
    chart_.fire(TargetOrderChartEvent::Order);
    return pending_->order;
}

bool TargetTracker::isIdle(core::TimePoint now) const
{
    return chart_.state() == TargetOrderState::Idle && now >= noOrdersUntil_;
}

bool TargetTracker::serves(const core::ModelId &model) const
{
    if (!holdings_.contains(model))
        return false;
    return !pending_ || pending_->order.kind != swap::OrderKind::Unload
        || pending_->order.artifact != Artifact {model, {}, {}};
}

bool TargetTracker::servesAdapter(const Artifact &artifact) const
{
    return serves(artifact.model)
        && holdings_.at(artifact.model).adapters.contains(artifact.adapter)
        && !isUnloading(artifact)
        && (!pending_ || pending_->order.kind != swap::OrderKind::Unload
            || pending_->order.artifact != artifact);
}

bool TargetTracker::isLoading(const core::ModelId &model) const
{
    return pending_ && pending_->order.kind == swap::OrderKind::Load
        && pending_->order.artifact == Artifact {model, {}, {}};
}

std::vector<Artifact> TargetTracker::servedArtifacts() const
{
    std::vector<Artifact> artifacts;
    for (const auto &[model, holding] : holdings_) {
        if (!serves(model))
            continue;
        artifacts.push_back({model, {}, {}});
        for (const core::AdapterId &adapter : holding.adapters) {
            if (const Artifact artifact {model, {}, adapter}; servesAdapter(artifact))
                artifacts.push_back(artifact);
        }
    }
    return artifacts;
}

void TargetTracker::fire(TargetOrderChartEvent event, core::TimePoint now)
{
    for (const TargetOrderChartAction action : chart_.fire(event)) {
        if (action == TargetOrderChartAction::ApplyOrder)
            apply(now);
    }
}

void TargetTracker::apply(core::TimePoint now)
{
    const Artifact &artifact = pending_->order.artifact;
    const bool isLoad = pending_->order.kind == swap::OrderKind::Load;
    if (artifact.isAdapter() && isLoad)
        holdings_[artifact.model].adapters.insert(artifact.adapter);
    else if (artifact.isAdapter())
        holdings_[artifact.model].adapters.erase(artifact.adapter);
    else if (isLoad)
        holdings_[artifact.model].since = now;
    else
        holdings_.erase(artifact.model);
    // The adapters of a model are unloaded with it.
    std::erase_if(unloading_,
                  [this](const Artifact &adapter) { return !holdings_.contains(adapter.model); });
    pending_.reset();
    ++changes_;
}

void TargetTracker::adopt(const TargetReport &report, core::TimePoint now)
{
    adopt(report.replicas, now);
    arriving_ = {report.arriving.begin(), report.arriving.end()};
    for (const Artifact &artifact : arriving_)
        holdings_[artifact.model].adapters.insert(artifact.adapter);
    std::erase_if(unloading_, [this](const Artifact &adapter) {
        const auto holding = holdings_.find(adapter.model);
        return holding == holdings_.end() || !holding->second.adapters.contains(adapter.adapter);
    });
    isUnloadAssumed_ = false;
    isProofWanted_ = false;
    sequence_ = report.orderSequence;
}

void TargetTracker::adopt(const std::vector<ModelReplica> &replicas, core::TimePoint now)
{
    std::map<core::ModelId, Holding> holdings;
    for (const ModelReplica &replica : replicas) {
        const auto known = holdings_.find(replica.model);
        Holding &holding = holdings[replica.model];
        holding.since = known == holdings_.end() ? now : known->second.since;
        holding.adapters = {replica.adapters.begin(), replica.adapters.end()};
    }
    holdings_ = std::move(holdings);
}

bool TargetTracker::isEffectVisible(const std::vector<ModelReplica> &replicas) const
{
    const Artifact &artifact = pending_->order.artifact;
    const auto replica = std::ranges::find(replicas, artifact.model, &ModelReplica::model);
    bool isPresent = replica != replicas.end();
    if (isPresent && artifact.isAdapter()) {
        isPresent =
            std::ranges::find(replica->adapters, artifact.adapter) != replica->adapters.end();
    }
    return isPresent == (pending_->order.kind == swap::OrderKind::Load);
}

} // namespace boragerack::decisions
