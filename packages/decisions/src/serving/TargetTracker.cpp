#include "boragerack/decisions/serving/TargetTracker.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// A report may be this old, so it shows the effect of an order only after this time.
constexpr std::chrono::milliseconds kReportLag(250);
/// Pause before an order that met a conflict is tried again, and the conflicts in a row after which
/// the target is asked for its state instead.
constexpr std::chrono::milliseconds kBusyPause(50);
constexpr int kConflictsToAsk = 4;
/// Pause between two questions to a target whose order should be done.
constexpr std::chrono::milliseconds kAskEvery(100);
/// Pause after a question that was not answered.
constexpr std::chrono::milliseconds kAskAgain(400);
/// A target that rejected an order gets none for this time.
constexpr std::chrono::milliseconds kAvoidAfterRejection(2000);
/// An accepted order without an effect for this long after its time is given up.
constexpr std::chrono::milliseconds kOverdue(15000);

} // namespace

TargetTracker::TargetTracker(std::shared_ptr<const TargetOrderBinding> chart, TargetEntry entry,
                             core::TimePoint now)
    : entry_(std::move(entry))
    , chart_(std::move(chart))
    , askAt_(now)
{
    adopt(entry_.replicas, 0, now);
}

bool TargetTracker::updateEntry(const TargetEntry &entry, core::TimePoint now)
{
    if (entry.startedAt != entry_.startedAt || entry.address != entry_.address)
        return false;
    entry_ = entry;
    // Entries lag behind and do not say how many orders they include. Only the appearance of a
    // model that was not there before is certain.
    if (chart_.state() == TargetOrderState::Executing
        && pending_->order.kind == swap::OrderKind::Load && isEffectVisible(entry.replicas))
        fire(TargetOrderChartEvent::Finished, now);
    return true;
}

void TargetTracker::answer(swap::OrderOutcome outcome, core::TimePoint now)
{
    switch (outcome) {
    case swap::OrderOutcome::Accepted:
        conflicts_ = 0;
        ++sequence_;
        pending_->doneAt = now + pending_->duration;
        askAt_ = pending_->doneAt + kReportLag;
        fire(TargetOrderChartEvent::Accepted, now);
        break;
    case swap::OrderOutcome::AlreadyHeld:
        // An unload that takes no time is answered so, and counts as an accepted order.
        if (pending_->order.kind == swap::OrderKind::Unload)
            ++sequence_;
        fire(TargetOrderChartEvent::AlreadyHeld, now);
        break;
    case swap::OrderOutcome::NotSent:
        fire(TargetOrderChartEvent::NotSent, now);
        pending_.reset();
        ++changes_;
        avoidUntil_ = now + kAskAgain;
        break;
    case swap::OrderOutcome::Rejected:
        avoidUntil_ = now + kAvoidAfterRejection;
        [[fallthrough]];
    case swap::OrderOutcome::Conflict:
        pending_.reset();
        ++changes_;
        // The order before may take a little longer than expected. A report would lag behind, so
        // the order is tried again before one is asked for.
        if (outcome == swap::OrderOutcome::Conflict && ++conflicts_ < kConflictsToAsk) {
            avoidUntil_ = now + kBusyPause;
            fire(TargetOrderChartEvent::Busy, now);
            break;
        }
        conflicts_ = 0;
        askAt_ = now + kReportLag;
        fire(TargetOrderChartEvent::Refused, now);
        break;
    case swap::OrderOutcome::Unknown:
        // The memory of the order stays reserved until a report shows what became of it.
        fire(TargetOrderChartEvent::Lost, now);
        askAt_ = now + kReportLag;
        break;
    }
}

void TargetTracker::report(const std::optional<TargetReport> &report, core::TimePoint now)
{
    isQuestionOpen_ = false;
    if (!report || report->startedAt != entry_.startedAt) {
        askAt_ = now + kAskAgain;
        fire(TargetOrderChartEvent::Unanswered, now);
        return;
    }
    if (chart_.state() == TargetOrderState::Executing) {
        askAt_ = now + kAskEvery;
        if (report->orderSequence >= sequence_ && !report->isBusy
            && isEffectVisible(report->replicas)) {
            fire(TargetOrderChartEvent::Finished, now);
            adopt(report->replicas, report->orderSequence, now);
        }
        return;
    }
    if (report->isBusy) {
        askAt_ = now + kAskEvery;
        fire(TargetOrderChartEvent::ReportedBusy, now);
        return;
    }
    // An order without an answer has been carried out, or it fails at the next order: both expect
    // the same sequence.
    pending_.reset();
    fire(TargetOrderChartEvent::Reported, now);
    adopt(report->replicas, report->orderSequence, now);
    for (const Artifact &artifact : report->arriving)
        holdings_[artifact.model].adapters.insert(artifact.adapter);
}

std::optional<swap::RequestTargetReport> TargetTracker::nextReportRequest(core::TimePoint now)
{
    if (isQuestionOpen_ || now < askAt_)
        return std::nullopt;
    const bool isDue = chart_.state() == TargetOrderState::Unknown
        || (chart_.state() == TargetOrderState::Executing && !pending_->isDurationCertain);
    if (!isDue)
        return std::nullopt;
    fire(TargetOrderChartEvent::RequestReport, now);
    isQuestionOpen_ = true;
    return swap::RequestTargetReport {entry_.target, entry_.address};
}

void TargetTracker::tick(core::TimePoint now)
{
    if (chart_.state() != TargetOrderState::Executing)
        return;
    if (pending_->isDurationCertain) {
        if (now >= pending_->doneAt)
            fire(TargetOrderChartEvent::Finished, now);
    } else if (now >= pending_->doneAt + kOverdue) {
        fire(TargetOrderChartEvent::Overdue, now);
        askAt_ = now;
    }
}

swap::SendOrder TargetTracker::begin(PendingOrder order)
{
    order.order.expectedSequence = sequence_;
    pending_ = std::move(order);
    // An unload takes its artifact out of use at once.
    ++changes_;
    chart_.fire(TargetOrderChartEvent::Order);
    return pending_->order;
}

bool TargetTracker::isIdle(core::TimePoint now) const
{
    return chart_.state() == TargetOrderState::Idle && now >= avoidUntil_;
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

void TargetTracker::fire(TargetOrderChartEvent trigger, core::TimePoint now)
{
    for (const TargetOrderChartAction step : chart_.fire(trigger)) {
        if (step == TargetOrderChartAction::ApplyOrder)
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
    pending_.reset();
    ++changes_;
}

void TargetTracker::adopt(const std::vector<ModelReplica> &replicas, std::uint64_t sequence,
                          core::TimePoint now)
{
    std::map<core::ModelId, Holding> holdings;
    for (const ModelReplica &replica : replicas) {
        const auto known = holdings_.find(replica.model);
        Holding &holding = holdings[replica.model];
        holding.since = known == holdings_.end() ? now : known->second.since;
        holding.adapters = {replica.adapters.begin(), replica.adapters.end()};
    }
    holdings_ = std::move(holdings);
    sequence_ = sequence;
    ++changes_;
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
