#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/decisions/BudgetHolder.h"
#include "boragerack/decisions/BudgetPolicy.h"
#include "boragerack/decisions/ShareLifecycle.h"

namespace boragerack::decisions {

/// Process that owns a share. The incarnation forces a restarted process to write the table before
/// it grants, so that a delayed write of the previous process cannot release the share meanwhile.
struct ShareOwner
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const ShareOwner &, const ShareOwner &) = default;
};

/// Contents of the platform object `budget/shares`. A share without an entry is unowned.
using ShareOwners = std::map<ShareKey, ShareOwner>;

/// The table as read, pushed by a relay or returned by a failed update. Version 0 means that the
/// object does not exist.
struct ShareTableRead
{
    std::uint64_t version = 0;
    ShareOwners owners;

    friend bool operator==(const ShareTableRead &, const ShareTableRead &) = default;
};

/// The last write succeeded.
struct ShareTableWritten
{
    std::uint64_t version = 0;

    friend bool operator==(const ShareTableWritten &, const ShareTableWritten &) = default;
};

/// The outcome of the last write is unknown, or the platform returned an error.
struct ShareTableWriteUnknown
{
    friend bool operator==(const ShareTableWriteUnknown &,
                           const ShareTableWriteUnknown &) = default;
};

/// The platform's list of instances, including those that are leaving.
struct InstanceListRead
{
    std::vector<core::InstanceId> instances;

    friend bool operator==(const InstanceListRead &, const InstanceListRead &) = default;
};

/// Members that may own shares, in this node's view.
struct BudgetMembersChanged
{
    std::vector<core::InstanceId> members;

    friend bool operator==(const BudgetMembersChanged &, const BudgetMembersChanged &) = default;
};

/// Planned stop of the process, which releases all shares.
struct ShareReleaseRequested
{
    friend bool operator==(const ShareReleaseRequested &, const ShareReleaseRequested &) = default;
};

struct ShareTableTimerFired
{
    friend bool operator==(const ShareTableTimerFired &, const ShareTableTimerFired &) = default;
};

/// Conditional update: version 0 creates the object.
struct WriteShareTable
{
    std::uint64_t expectedVersion = 0;
    ShareOwners owners;

    friend bool operator==(const WriteShareTable &, const WriteShareTable &) = default;
};

struct ReadShareTable
{
    friend bool operator==(const ReadShareTable &, const ReadShareTable &) = default;
};

using ShareTableEvent =
    std::variant<ShareTableRead, ShareTableWritten, ShareTableWriteUnknown, InstanceListRead,
                 BudgetMembersChanged, ShareReleaseRequested, ShareTableTimerFired>;
/// ShareGrantingStarted and ShareGrantingStopped are passed on to the BudgetHolder.
using ShareTableAction =
    std::variant<WriteShareTable, ReadShareTable, ShareGrantingStarted, ShareGrantingStopped>;

/// Acquires and releases shares for this process. A share changes owner only by a conditional
/// update: when its owner releases it, or when its owner's instance is permanently absent.
class ShareTable
{
public:
    ShareTable(ShareOwner self, std::shared_ptr<const ShareBinding> chart,
               const BudgetPolicy &policy, const BudgetFaults &faults = {});

    std::vector<ShareTableAction> handle(const ShareTableEvent &event, TimePoint now);

    const ShareOwners &owners() const { return owners_; }
    std::uint64_t version() const { return version_; }
    ShareState stateOf(const ShareKey &share) const;
    /// True if the table shows no share of this instance and no write is pending. Ends a planned
    /// stop.
    bool hasReleasedAll() const;
    /// Earliest time at which a ShareTableTimerFired event can change the state; empty if there is
    /// none.
    std::optional<TimePoint> nextTimer() const;

private:
    using Lifecycle = charts::ChartInstance<ShareState, ShareChartEvent, ShareChartAction>;
    using Actions = std::vector<ShareTableAction>;

    struct Share
    {
        Lifecycle lifecycle;
        TimePoint warmUpEnd;
        std::optional<TimePoint> preferredElsewhereSince;
    };

    struct Absence
    {
        TimePoint since;
        int reads = 0;
    };

    void on(const ShareTableRead &event, TimePoint now, Actions &actions);
    void on(const ShareTableWritten &event, TimePoint now, Actions &actions);
    void on(const ShareTableWriteUnknown &event, TimePoint now, Actions &actions);
    void on(const InstanceListRead &event, TimePoint now, Actions &actions);
    void on(const BudgetMembersChanged &event, TimePoint now, Actions &actions);
    void on(const ShareReleaseRequested &event, TimePoint now, Actions &actions);
    void on(const ShareTableTimerFired &event, TimePoint now, Actions &actions);

    Share &shareAt(const ShareKey &key);
    void fire(const ShareKey &key, ShareChartEvent event, TimePoint now, Actions &actions);
    void applyTable(std::uint64_t version, ShareOwners owners, TimePoint now, Actions &actions);
    void decide(TimePoint now, Actions &actions);
    std::set<std::uint32_t> releasingShards() const;
    void claim(const ShareKey &key, TimePoint now, Actions &actions);
    void postponeClaims(std::chrono::milliseconds spread, TimePoint now);
    bool canClaim(const ShareKey &key, TimePoint now) const;
    bool isPermanentlyAbsent(const core::InstanceId &instance, TimePoint now) const;
    void emitTableWrite(Actions &actions);

    ShareOwner self_;
    std::shared_ptr<const ShareBinding> chart_;
    const BudgetPolicy &policy_;
    BudgetFaults faults_;
    bool isStopping_ = false;
    bool hasReadTable_ = false;
    bool needsWrite_ = false;
    bool isOutcomeUnknown_ = false;
    bool hasPostponedClaims_ = false;
    TimePoint claimsNotBefore_;
    std::uint64_t version_ = 0;
    ShareOwners owners_;
    std::optional<WriteShareTable> pendingWrite_;
    /// Shares that this process owns, acquires or releases.
    std::map<ShareKey, Share> shares_;
    std::map<ShareKey, core::InstanceId> preferredOwners_;
    std::set<core::InstanceId> seenInstances_;
    std::map<core::InstanceId, Absence> absences_;
};

} // namespace boragerack::decisions
