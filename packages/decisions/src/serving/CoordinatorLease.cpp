#include "boragerack/decisions/serving/CoordinatorLease.h"

#include <algorithm>

#include "boragerack/core/RendezvousHash.h"
#include "boragerack/core/StoreVersion.h"
#include "boragerack/decisions/serving/FleetSize.h"
#include "boragerack/decisions/serving/ReportTree.h"

namespace boragerack::decisions {

namespace {

/// Era of a store that has not been restored. Stores that do not report an era have a lower one.
constexpr std::uint64_t kFirstEra = 1;

} // namespace

CoordinatorLease::CoordinatorLease(std::shared_ptr<const CoordinatorBinding> chart,
                                   LeaseRecord self, const LeaseTimes &times)
    : chart_(std::move(chart))
    , self_(std::move(self))
    , times_(times)
{
}

std::vector<lease::Action> CoordinatorLease::handle(const lease::Event &event, core::TimePoint now)
{
    std::vector<lease::Action> actions;
    if (!startedAt_)
        startedAt_ = now;
    if (const auto *read = std::get_if<lease::ReadFinished>(&event)) {
        onRead(*read, now, actions);
    } else if (const auto *applied = std::get_if<lease::WriteApplied>(&event)) {
        onApplied(applied->version, now, actions);
    } else if (std::holds_alternative<lease::WriteConflict>(event)) {
        fire(CoordinatorChartEvent::Conflict, now, actions);
    } else if (std::holds_alternative<lease::Unanswered>(event)) {
        fire(CoordinatorChartEvent::Unanswered, now, actions);
    } else if (const auto *answered = std::get_if<lease::CoordinatorAnswered>(&event)) {
        coordinatorAnswer_ = *answered;
        if (answered->isHolding)
            coordinatorAnsweredAt_ = now;
        else
            coordinatorAnsweredAt_.reset();
    } else if (const auto *reported = std::get_if<lease::HolderReported>(&event)) {
        onHolderReported(reported->observation, now, actions);
    } else if (const auto *counted = std::get_if<lease::NodesCounted>(&event)) {
        self_.nodes = std::max(self_.nodes, counted->nodes);
        isRelay_ = counted->isRelay;
    } else if (std::holds_alternative<lease::StopAnnounced>(event)) {
        isStopAnnounced_ = true;
    } else if (std::holds_alternative<lease::StopRequested>(event)) {
        isStopRequested_ = true;
        fire(CoordinatorChartEvent::Stop, now, actions);
    } else {
        onTick(now, actions);
    }
    return actions;
}

bool CoordinatorLease::isHolding(core::TimePoint now) const
{
    return hasTerm() && now < confirmedAt_ + confirmedValidity_;
}

bool CoordinatorLease::mayOrder(core::TimePoint now) const
{
    return isHolding(now + times_.orderTimeout) && now >= ordersFrom_ && !isStopRequested_;
}

void CoordinatorLease::onApplied(std::uint64_t version, core::TimePoint now,
                                 std::vector<lease::Action> &actions)
{
    const std::uint64_t era = core::toStoreVersion(version).era;
    // In another era, the condition of the write may have referred to another record with the same
    // revision, so that the write proves nothing.
    const bool isSameEra = storeEra_ == era;
    if (!isSameEra)
        knownSince_ = now;
    storeEra_ = era;
    knownVersion_ = version;
    known_ = self_;
    fire(isSameEra ? CoordinatorChartEvent::Applied : CoordinatorChartEvent::Unanswered, now,
         actions);
}

void CoordinatorLease::onRead(const lease::ReadFinished &read, core::TimePoint now,
                              std::vector<lease::Action> &actions)
{
    const auto version = read.record ? std::optional(read.version) : std::nullopt;
    if (storeEra_ != read.era || knownVersion_ != version)
        knownSince_ = now;
    storeEra_ = read.era;
    known_ = read.record;
    if (known_ && known_->nodes > self_.nodes) {
        const bool isFirst = self_.nodes == 0;
        self_.nodes = known_->nodes;
        if (isFirst)
            nextPollAt_ = std::min(nextPollAt_, now + pollInterval());
    }
    knownVersion_ = version;
    if (chart_.state() == CoordinatorState::Verifying) {
        // If the lease has lapsed, another node may have held it before the store was restored.
        const bool isOwnTerm = known_ && isOwn(*known_) && known_->incarnation == self_.incarnation
            && (!isRestored() || isHolding(now));
        // A pending write may still take effect. The next renewal is conditional on the version
        // read here, so at most one of the two writes succeeds.
        fire(isOwnTerm ? CoordinatorChartEvent::FoundOwn : CoordinatorChartEvent::FoundOther, now,
             actions);
        return;
    }
    fire(isFree(now) ? CoordinatorChartEvent::FoundFree : CoordinatorChartEvent::FoundHeld, now,
         actions);
}

void CoordinatorLease::onTick(core::TimePoint now, std::vector<lease::Action> &actions)
{
    if (isStopRequested_) {
        fire(CoordinatorChartEvent::Stop, now, actions);
        return;
    }
    if (chart_.accepts(CoordinatorChartEvent::Renew)) {
        if (now >= writeSentAt_ + times_.renewInterval)
            fire(CoordinatorChartEvent::Renew, now, actions);
        return;
    }
    const bool isCoordinatorResponsive = coordinatorAnsweredAt_
        && now - *coordinatorAnsweredAt_ < times_.validity / 2
        && chart_.state() == CoordinatorState::Following;
    // All nodes lose the coordinator at the same time; staggering spreads their polls over the
    // interval.
    if (!isCoordinatorResponsive && !isCoordinatorUnresponsive_ && coordinatorAnsweredAt_)
        nextPollAt_ = std::max(nextPollAt_, now + core::staggerOf(self_.holder, pollInterval()));
    isCoordinatorUnresponsive_ = !isCoordinatorResponsive;
    if (!chart_.accepts(CoordinatorChartEvent::Poll) || now < nextPollAt_
        || isCoordinatorResponsive)
        return;
    nextPollAt_ = now + pollInterval();
    fire(CoordinatorChartEvent::Poll, now, actions);
}

core::Duration CoordinatorLease::pollInterval() const
{
    // Relays pass the successor of a coordinator on to their children, so they poll more often.
    const std::uint32_t nodes = self_.nodes == 0 ? kAssumedNodes : self_.nodes;
    const std::uint32_t pollers =
        isRelay_ ? nodes / static_cast<std::uint32_t>(ReportTree::kMaxFanOut) : nodes;
    return std::max(times_.pollInterval, times_.pollInterval * pollers / kSmallFleetNodes);
}

std::optional<LeaseObservation> CoordinatorLease::observation() const
{
    if (!known_ || !knownVersion_)
        return std::nullopt;
    return LeaseObservation {*known_, *knownVersion_};
}

void CoordinatorLease::onHolderReported(const LeaseObservation &reported, core::TimePoint now,
                                        std::vector<lease::Action> &actions)
{
    const CoordinatorState state = chart_.state();
    // In other states a call to the platform is in progress, whose result is more recent.
    if (state != CoordinatorState::Following && state != CoordinatorState::Unverified)
        return;
    if (knownVersion_ && reported.version <= *knownVersion_)
        return;
    known_ = reported.record;
    knownVersion_ = reported.version;
    storeEra_ = core::toStoreVersion(reported.version).era;
    // The record may have been read much earlier; measuring its age from now is conservative.
    knownSince_ = now;
    const bool isOwnTerm = isOwn(*known_) && known_->incarnation == self_.incarnation;
    if (state == CoordinatorState::Unverified && !isOwnTerm)
        fire(CoordinatorChartEvent::FoundOther, now, actions);
}

void CoordinatorLease::fire(CoordinatorChartEvent event, core::TimePoint now,
                            std::vector<lease::Action> &actions)
{
    for (const CoordinatorChartAction action : chart_.fire(event))
        perform(action, now, actions);
}

void CoordinatorLease::perform(CoordinatorChartAction action, core::TimePoint now,
                               std::vector<lease::Action> &actions)
{
    switch (action) {
    case CoordinatorChartAction::ReadLease:
        actions.emplace_back(lease::Read {});
        break;
    case CoordinatorChartAction::WriteLease:
        ++self_.renewal;
        self_.era = storeEra_.value_or(0);
        self_.ordersAfter = std::chrono::ceil<std::chrono::milliseconds>(
            std::max(core::Duration(0), ordersFrom_ - now));
        // A validity reduced within a term would let a successor act before the longer one ends.
        if (!hasTerm())
            self_.validity =
                isLargeFleet(self_.nodes) ? times_.largeFleetValidity : times_.validity;
        writeSentAt_ = now;
        actions.emplace_back(lease::Write {self_, knownVersion_});
        break;
    case CoordinatorChartAction::WriteRelease: {
        LeaseRecord released = self_;
        released.isReleased = true;
        ++released.renewal;
        actions.emplace_back(lease::Write {released, knownVersion_});
        break;
    }
    case CoordinatorChartAction::StartTerm:
        fence_ = *knownVersion_;
        confirmedAt_ = writeSentAt_;
        confirmedValidity_ = self_.validity;
        confirmedRenewal_ = self_.renewal;
        break;
    case CoordinatorChartAction::ExtendTerm:
        // Reading back an older renewal does not confirm the last one.
        if (known_->renewal == self_.renewal) {
            confirmedAt_ = writeSentAt_;
            confirmedValidity_ = self_.validity;
            confirmedRenewal_ = self_.renewal;
        }
        break;
    case CoordinatorChartAction::EndTerm:
        fence_ = 0;
        break;
    }
}

bool CoordinatorLease::isOwn(const LeaseRecord &record) const
{
    return record.holder == self_.holder && record.peerAddress == self_.peerAddress;
}

core::TimePoint CoordinatorLease::lastRenewalBefore() const
{
    // The holder itself reported when it sent the renewal in the record. If it has renewed the
    // lease since, the version has changed and the conditional write fails.
    const bool isReportedByHolder = coordinatorAnswer_.incarnation == known_->incarnation
        && coordinatorAnswer_.renewal == known_->renewal;
    return isReportedByHolder ? std::min(knownSince_, coordinatorAnswer_.renewedBefore)
                              : knownSince_;
}

ConfirmedRenewal CoordinatorLease::confirmedRenewal(core::TimePoint now) const
{
    return {self_.incarnation, confirmedRenewal_,
            std::chrono::floor<std::chrono::milliseconds>(now - confirmedAt_)};
}

bool CoordinatorLease::isRestored() const
{
    return known_ ? known_->era != storeEra_ : storeEra_ > kFirstEra;
}

bool CoordinatorLease::isFreeAfterRestore(core::TimePoint now)
{
    const core::TimePoint lapsesAt =
        knownSince_ + std::max(times_.validity, times_.largeFleetValidity) + times_.margin;
    ordersFrom_ = lapsesAt + times_.orderHandover;
    return now >= lapsesAt + times_.acquireDelay;
}

bool CoordinatorLease::isFree(core::TimePoint now)
{
    if (isStopAnnounced_)
        return false;
    lapsedHolder_.reset();
    if (isRestored())
        return isFreeAfterRestore(now);
    if (!known_) {
        ordersFrom_ = now;
        return now >= *startedAt_ + times_.acquireDelay;
    }
    // Targets regard a restarted process as the same holder. Its predecessor has terminated,
    // because this process is bound to its address.
    if (isOwn(*known_)) {
        if (known_->incarnation != self_.incarnation)
            ordersFrom_ = now + known_->ordersAfter;
        return true;
    }
    if (known_->isReleased) {
        // The last orders of the holder may still have been in transit at the release.
        ordersFrom_ = knownSince_ + times_.orderTimeout + times_.orderHandover + times_.margin;
        const bool isYoung = now - *startedAt_ < times_.youngProcessAge;
        return now >= knownSince_ + times_.acquireDelay
            + (isYoung ? std::chrono::milliseconds(0) : times_.olderProcessDelay);
    }
    const core::TimePoint lapsesAt = lastRenewalBefore() + known_->validity + times_.margin;
    ordersFrom_ = lapsesAt + times_.orderHandover;
    lapsedHolder_ = known_->holder;
    return now >= lapsesAt + times_.acquireDelay;
}

} // namespace boragerack::decisions
