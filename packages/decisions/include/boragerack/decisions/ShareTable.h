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

/// Process that owns a share. The incarnation makes a restarted process write before it grants, so
/// that a late write of its predecessor cannot release the share behind its back.
struct ShareOwner
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const ShareOwner &, const ShareOwner &) = default;
};

/// Content of the platform object `budget/shares`; a share without an entry is unowned.
using ShareOwners = std::map<ShareKey, ShareOwner>;

/// The table object as read, pushed by a relay or returned with a failed update. Version 0 means
/// that the object does not exist.
struct ShareTableRead
{
    std::uint64_t version = 0;
    ShareOwners owners;

    friend bool operator==(const ShareTableRead &, const ShareTableRead &) = default;
};

/// The last write took effect.
struct ShareTableWritten
{
    std::uint64_t version = 0;

    friend bool operator==(const ShareTableWritten &, const ShareTableWritten &) = default;
};

/// It is unknown whether the last write took effect, or the platform refused to answer.
struct ShareTableWriteUnknown
{
    friend bool operator==(const ShareTableWriteUnknown &,
                           const ShareTableWriteUnknown &) = default;
};

/// The platform's list of instances, live and leaving.
struct InstanceListRead
{
    std::vector<core::InstanceId> instances;

    friend bool operator==(const InstanceListRead &, const InstanceListRead &) = default;
};

/// Members that may own shares, as this node sees them.
struct BudgetMembersChanged
{
    std::vector<core::InstanceId> members;

    friend bool operator==(const BudgetMembersChanged &, const BudgetMembersChanged &) = default;
};

/// The process stops as planned and gives up all shares.
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
/// Starting and stopping of granting go to the BudgetHolder as they are.
using ShareTableAction =
    std::variant<WriteShareTable, ReadShareTable, ShareGrantingStarted, ShareGrantingStopped>;

/// Decides who owns which share. A share changes owner only by a conditional update: by its owner's
/// release, or when its owner's instance is gone for good.
class ShareTable
{
public:
    ShareTable(ShareOwner self, std::shared_ptr<const ShareBinding> chart,
               const BudgetPolicy &policy, const BudgetFaults &faults = {});

    std::vector<ShareTableAction> handle(const ShareTableEvent &event, TimePoint now);

    const ShareOwners &owners() const { return owners_; }
    std::uint64_t version() const { return version_; }
    ShareState stateOf(const ShareKey &share) const;
    /// True once no share is owned or being released, for the end of a planned stop.
    bool hasReleasedAll() const;
    /// Time of the next ShareTableTimerFired event that can change anything.
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
    void adopt(std::uint64_t version, ShareOwners owners, TimePoint now, Actions &actions);
    void decide(TimePoint now, Actions &actions);
    std::set<std::uint32_t> releasingShards() const;
    void claim(const ShareKey &key, TimePoint now, Actions &actions);
    void postponeClaims(std::chrono::milliseconds spread, TimePoint now);
    bool mayClaim(const ShareKey &key, TimePoint now) const;
    bool isGoneForGood(const core::InstanceId &instance, TimePoint now) const;
    void write(Actions &actions);

    ShareOwner self_;
    std::shared_ptr<const ShareBinding> chart_;
    const BudgetPolicy &policy_;
    BudgetFaults faults_;
    bool isStopping_ = false;
    bool hasRead_ = false;
    bool needsWrite_ = false;
    bool isOutcomeUnknown_ = false;
    bool hasPostponedClaims_ = false;
    TimePoint claimsAt_;
    std::uint64_t version_ = 0;
    ShareOwners owners_;
    std::optional<WriteShareTable> pending_;
    /// Shares that this process owns or is about to own or release.
    std::map<ShareKey, Share> shares_;
    std::map<ShareKey, core::InstanceId> preferred_;
    std::set<core::InstanceId> seenInstances_;
    std::map<core::InstanceId, Absence> absent_;
};

} // namespace boragerack::decisions
