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
    /// A holder acts for this long after it sent its last confirmed renewal.
    std::chrono::milliseconds validity = std::chrono::milliseconds(1300);
    /// The same in a large fleet, whose nodes keep a coordinator so busy that its
    /// renewals take longer.
    std::chrono::milliseconds largeFleetValidity = std::chrono::milliseconds(2000);
    std::chrono::milliseconds renewInterval = std::chrono::milliseconds(350);
    /// An order may be on its way for this long after it was allowed.
    std::chrono::milliseconds orderTimeout = std::chrono::milliseconds(500);
    std::chrono::milliseconds pollInterval = std::chrono::milliseconds(200);
    /// The nodes of a large fleet look less often, as each look is a call to the platform, but no
    /// less often than this.
    std::chrono::milliseconds maxPollInterval = std::chrono::milliseconds(800);
    /// No two holders may give one target orders within this time.
    std::chrono::milliseconds orderHandover = std::chrono::milliseconds(3000);
    /// A released lease is left to younger processes for a moment: in a rolling restart they are
    /// the ones that will not be stopped next.
    std::chrono::milliseconds youngProcessAge = std::chrono::seconds(15);
    std::chrono::milliseconds olderProcessDelay = std::chrono::milliseconds(400);
    /// Added to both waits of a successor; covers timers that fire late.
    std::chrono::milliseconds margin = std::chrono::milliseconds(200);

    friend auto operator<=>(const LeaseTimes &, const LeaseTimes &) = default;
};

namespace lease {

struct ReadFinished
{
    std::optional<LeaseRecord> record;
    std::uint64_t version = 0;
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

/// A read failed, or a write whose outcome is not known.
struct Unanswered
{
    friend bool operator==(const Unanswered &, const Unanswered &) = default;
};

/// The coordinator answered a report of this node.
struct CoordinatorAnswered
{
    /// Its lease is fresh, so there is no need to look at it.
    bool isHolding = false;
    std::uint64_t incarnation = 0;
    /// Its last confirmed renewal, and the latest time at which it can have been sent.
    std::uint64_t renewal = 0;
    core::TimePoint renewedBefore = {};
    friend bool operator==(const CoordinatorAnswered &, const CoordinatorAnswered &) = default;
};

/// Live nodes as this one knows them. All of them look at the lease when the coordinator falls
/// silent.
struct NodesCounted
{
    std::uint32_t nodes = 0;
    friend bool operator==(const NodesCounted &, const NodesCounted &) = default;
};

/// Another node tells what it has read of the lease. A node that has lost the platform learns of a
/// successor in this way, also if it holds the lapsed lease itself.
struct HolderReported
{
    LeaseObservation sighting;
    friend bool operator==(const HolderReported &, const HolderReported &) = default;
};

/// The process will stop soon; it takes no lease any more, but keeps one that it holds.
struct StopAnnounced
{
    friend bool operator==(const StopAnnounced &, const StopAnnounced &) = default;
};

/// The process stops now; a lease that it holds is released.
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

/// Write if the object has the version, or if there is none when the version is empty.
struct Write
{
    LeaseRecord record;
    std::optional<std::uint64_t> ifVersion;
    friend bool operator==(const Write &, const Write &) = default;
};

using Action = std::variant<Read, Write>;

} // namespace lease

/// Decides when this node coordinates the fleet. The holder of the lease renews it by conditional
/// writes; a successor takes it only after it has seen it unchanged for longer than its validity,
/// and then waits until no order of its predecessor can be recent. Times must come from a clock
/// that counts suspension.
class CoordinatorLease
{
public:
    CoordinatorLease(std::shared_ptr<const CoordinatorBinding> chart, LeaseRecord self,
                     const LeaseTimes &times);

    std::vector<lease::Action> handle(const lease::Event &event, core::TimePoint now);

    /// The term has begun and not ended; the lease may have lapsed meanwhile.
    bool hasTerm() const { return fence_ != 0; }
    bool isHolding(core::TimePoint now) const;
    bool mayOrder(core::TimePoint now) const;
    /// Version of the write that began the term; grows from one holder to the next.
    std::uint64_t fence() const { return fence_; }
    /// The last renewal that the platform confirmed, and when it was sent.
    ConfirmedRenewal confirmedRenewal(core::TimePoint now) const;
    /// Holder as last read or written; nothing before the first read.
    const std::optional<LeaseRecord> &holder() const { return known_; }
    /// Holder before the term of this node, if its lease lapsed; it may have ended.
    const std::optional<core::InstanceId> &lapsedHolder() const { return lapsedHolder_; }
    /// Most nodes that this one or the holder has known; zero if neither knows any.
    std::uint32_t peakNodeCount() const { return self_.nodes; }
    /// What other nodes may be told.
    std::optional<LeaseObservation> observation() const;
    bool isStopped() const { return chart_.isFinished(); }

private:
    void fire(CoordinatorChartEvent trigger, core::TimePoint now,
              std::vector<lease::Action> &actions);
    void perform(CoordinatorChartAction step, core::TimePoint now,
                 std::vector<lease::Action> &actions);
    void onRead(const lease::ReadFinished &read, core::TimePoint now,
                std::vector<lease::Action> &actions);
    void onTold(const LeaseObservation &sighting, core::TimePoint now,
                std::vector<lease::Action> &actions);
    void onTick(core::TimePoint now, std::vector<lease::Action> &actions);
    core::Duration lookPause() const;
    bool isOwn(const LeaseRecord &record) const;
    bool isFree(core::TimePoint now);
    core::TimePoint lastRenewalBefore() const;

    charts::ChartInstance<CoordinatorState, CoordinatorChartEvent, CoordinatorChartAction> chart_;
    LeaseRecord self_;
    LeaseTimes times_;
    std::optional<LeaseRecord> known_;
    std::optional<std::uint64_t> knownVersion_;
    /// When the known version was first seen.
    core::TimePoint knownSince_ = {};
    std::optional<core::TimePoint> heardAt_;
    lease::CoordinatorAnswered heard_;
    std::optional<core::InstanceId> lapsedHolder_;
    core::TimePoint nextLook_ = {};
    bool isSilent_ = false;
    std::uint64_t fence_ = 0;
    core::TimePoint ordersFrom_ = {};
    core::TimePoint writeSentAt_ = {};
    core::TimePoint confirmedAt_ = {};
    core::Duration confirmedValidity_ = {};
    std::uint64_t confirmedRenewal_ = 0;
    bool isStopAnnounced_ = false;
    bool isStopRequested_ = false;
    std::optional<core::TimePoint> startedAt_;
};

} // namespace boragerack::decisions
