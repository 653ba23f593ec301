#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/CoordinatorChart.h"
#include "boragerack/decisions/serving/LeaseRecord.h"

namespace boragerack::decisions {

struct LeaseTimes
{
    /// The lease is valid for this long after the last confirmed renewal was sent.
    std::chrono::milliseconds validity = std::chrono::milliseconds(1300);
    /// Validity in a large fleet, where the load on the coordinator delays its renewals.
    std::chrono::milliseconds largeFleetValidity = std::chrono::milliseconds(2000);
    std::chrono::milliseconds renewInterval = std::chrono::milliseconds(350);
    /// An order may be in transit for this long after `mayOrder()` allowed it.
    std::chrono::milliseconds orderTimeout = std::chrono::milliseconds(500);
    /// Poll interval of a small fleet. In a larger one it grows so that the calls of all nodes to
    /// the platform do not exceed those of `kSmallFleetNodes` nodes.
    std::chrono::milliseconds pollInterval = std::chrono::milliseconds(200);
    /// Minimum time between orders of two different holders to the same target.
    std::chrono::milliseconds orderHandover = std::chrono::milliseconds(3000);
    /// Processes older than this wait for `olderProcessDelay` before they acquire a released lease:
    /// in a rolling restart the younger processes are not the next to be stopped.
    std::chrono::milliseconds youngProcessAge = std::chrono::seconds(15);
    std::chrono::milliseconds olderProcessDelay = std::chrono::milliseconds(400);
    /// Additional time for which a lease must be free before this node acquires it.
    std::chrono::milliseconds acquireDelay = {};
    /// Added to the waits of a successor for the lapse of the lease and for the handover; covers
    /// timers that fire late.
    std::chrono::milliseconds margin = std::chrono::milliseconds(200);

    friend auto operator<=>(const LeaseTimes &, const LeaseTimes &) = default;
};

namespace lease {

struct ReadFinished
{
    std::optional<LeaseRecord> record;
    std::uint64_t version = 0;
    /// Era of the store at the read; see core::StoreVersion.
    std::uint64_t era = 0;
    friend bool operator==(const ReadFinished &, const ReadFinished &) = default;
};

struct WriteApplied
{
    std::uint64_t version = 0;
    friend bool operator==(const WriteApplied &, const WriteApplied &) = default;
};

struct WriteConflict
{
    friend bool operator==(const WriteConflict &, const WriteConflict &) = default;
};

/// A read failed, or the outcome of a write is unknown.
struct Unanswered
{
    friend bool operator==(const Unanswered &, const Unanswered &) = default;
};

/// The coordinator responded to a report of this node.
struct CoordinatorAnswered
{
    /// Its lease is valid, so the lease need not be read.
    bool isHolding = false;
    std::uint64_t incarnation = 0;
    /// Its last confirmed renewal, and the latest time at which that can have been sent.
    std::uint64_t renewal = 0;
    core::TimePoint renewedBefore = {};
    friend bool operator==(const CoordinatorAnswered &, const CoordinatorAnswered &) = default;
};

/// Number of live nodes known to this node. All of them poll the lease when the coordinator stops
/// responding, so the poll interval depends on it.
struct NodesCounted
{
    std::uint32_t nodes = 0;
    /// Other nodes report through this one and follow the coordinator that it names.
    bool isRelay = false;
    friend bool operator==(const NodesCounted &, const NodesCounted &) = default;
};

/// Another node reported the lease as it last read it. A node that cannot reach the platform
/// learns of a successor this way, even if it is itself the holder of the lapsed lease.
struct HolderReported
{
    LeaseObservation observation;
    friend bool operator==(const HolderReported &, const HolderReported &) = default;
};

/// The process will stop soon; it no longer acquires the lease, but keeps it if it is the holder.
struct StopAnnounced
{
    friend bool operator==(const StopAnnounced &, const StopAnnounced &) = default;
};

/// The process stops now and releases the lease if it is the holder.
struct StopRequested
{
    friend bool operator==(const StopRequested &, const StopRequested &) = default;
};

struct Tick
{
    friend bool operator==(const Tick &, const Tick &) = default;
};

using Event =
    std::variant<ReadFinished, WriteApplied, WriteConflict, Unanswered, CoordinatorAnswered,
                 HolderReported, NodesCounted, StopAnnounced, StopRequested, Tick>;

struct Read
{
    friend bool operator==(const Read &, const Read &) = default;
};

/// Conditional write: the object must have version `ifVersion`, or not exist if that is empty.
struct Write
{
    LeaseRecord record;
    std::optional<std::uint64_t> ifVersion;
    friend bool operator==(const Write &, const Write &) = default;
};

using Action = std::variant<Read, Write>;

} // namespace lease

/// Decides when this node is the coordinator of the fleet. The holder renews the lease by
/// conditional writes. A successor acquires it only if it has remained unchanged for longer than
/// its validity, and then waits until `LeaseTimes::orderHandover` has passed since any order of its
/// predecessor. A record of the time before a restore of the store does not show the last holder,
/// so the waits then count from the first read in the new era. Times must come from a clock that
/// includes the time of system suspension.
class CoordinatorLease
{
public:
    CoordinatorLease(std::shared_ptr<const CoordinatorBinding> chart, LeaseRecord self,
                     const LeaseTimes &times);

    std::vector<lease::Action> handle(const lease::Event &event, core::TimePoint now);

    /// The term has started and not ended; the lease may nevertheless have lapsed.
    bool hasTerm() const { return fence_ != 0; }
    bool isHolding(core::TimePoint now) const;
    bool mayOrder(core::TimePoint now) const;
    /// Fencing token: version of the write that started the term; increases with each holder.
    std::uint64_t fence() const { return fence_; }
    /// The last renewal that the platform confirmed, and its age.
    ConfirmedRenewal confirmedRenewal(core::TimePoint now) const;
    /// The lease as last read or written; empty before the first read.
    const std::optional<LeaseRecord> &holder() const { return known_; }
    /// Holder before the term of this node, if its lease lapsed; its process may have terminated.
    const std::optional<core::InstanceId> &lapsedHolder() const { return lapsedHolder_; }
    /// Largest number of nodes known to this node or the holder; zero if neither knows any.
    std::uint32_t peakNodeCount() const { return self_.nodes; }
    bool isRelay() const { return isRelay_; }
    /// The lease as last read, for reports to other nodes.
    std::optional<LeaseObservation> observation() const;
    bool isStopped() const { return chart_.isFinished(); }

private:
    void fire(CoordinatorChartEvent event, core::TimePoint now,
              std::vector<lease::Action> &actions);
    void perform(CoordinatorChartAction action, core::TimePoint now,
                 std::vector<lease::Action> &actions);
    void onApplied(std::uint64_t version, core::TimePoint now, std::vector<lease::Action> &actions);
    void onRead(const lease::ReadFinished &read, core::TimePoint now,
                std::vector<lease::Action> &actions);
    void onHolderReported(const LeaseObservation &reported, core::TimePoint now,
                          std::vector<lease::Action> &actions);
    void onTick(core::TimePoint now, std::vector<lease::Action> &actions);
    core::Duration pollInterval() const;
    bool isOwn(const LeaseRecord &record) const;
    bool isFree(core::TimePoint now);
    bool isFreeAfterRestore(core::TimePoint now);
    /// The store was restored since the record was written, or without a record, at any time.
    bool isRestored() const;
    core::TimePoint lastRenewalBefore() const;

    charts::ChartInstance<CoordinatorState, CoordinatorChartEvent, CoordinatorChartAction> chart_;
    LeaseRecord self_;
    LeaseTimes times_;
    std::optional<LeaseRecord> known_;
    std::optional<std::uint64_t> knownVersion_;
    /// When the known version was first read.
    core::TimePoint knownSince_ = {};
    /// Era of the store to which the known version belongs; empty before the first read.
    std::optional<std::uint64_t> storeEra_;
    /// When the coordinator last responded with a valid lease.
    std::optional<core::TimePoint> coordinatorAnsweredAt_;
    lease::CoordinatorAnswered coordinatorAnswer_;
    std::optional<core::InstanceId> lapsedHolder_;
    core::TimePoint nextPollAt_ = {};
    bool isCoordinatorUnresponsive_ = false;
    std::uint64_t fence_ = 0;
    core::TimePoint ordersFrom_ = {};
    core::TimePoint writeSentAt_ = {};
    core::TimePoint confirmedAt_ = {};
    core::Duration confirmedValidity_ = {};
    std::uint64_t confirmedRenewal_ = 0;
    bool isRelay_ = false;
    bool isStopAnnounced_ = false;
    bool isStopRequested_ = false;
    std::optional<core::TimePoint> startedAt_;
};

} // namespace boragerack::decisions
