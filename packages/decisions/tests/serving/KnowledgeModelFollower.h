#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "FleetKnowledgeModel.h"
#include "KnowledgeModelStore.h"
#include "boragerack/decisions/serving/FleetFollower.h"
#include "boragerack/decisions/serving/FleetState.h"
#include "boragerack/decisions/serving/TargetDirectory.h"

namespace boragerack::decisions::testing {

/// The part of an answer that concerns the state of the fleet.
struct KnowledgeModelAnswer
{
    CoordinatorStanding standing = CoordinatorStanding::Holding;
    std::optional<FleetChange> change;
    bool namesRelay = false;
    std::chrono::milliseconds targetsAge = {};
    friend auto operator<=>(const KnowledgeModelAnswer &, const KnowledgeModelAnswer &) = default;
};

/// A report of the follower, and its answer once it has one.
struct KnowledgeModelExchange
{
    FleetVersions knownToRouting;
    FleetVersions knownToReports;
    core::TimePoint reportedAt = {};
    /// Coordinator to which the report was sent, unless it went to the relay.
    std::size_t coordinator = 0;
    bool isAtRelay = false;
    std::optional<KnowledgeModelAnswer> answer;
    friend auto operator<=>(const KnowledgeModelExchange &,
                            const KnowledgeModelExchange &) = default;
};

/// What the report, routing and target tasks of a node know.
struct KnowledgeModelFollower
{
    FleetState state;
    FleetFollower follower;
    TargetDirectory directory;
    std::map<core::TargetId, TargetPlacement> placements;
    bool arePlacementsOutdated = false;
    bool hasRelay = false;
    std::optional<KnowledgeModelExchange> exchange;
    std::optional<core::TimePoint> readSentAt;
    /// The store as it was when it answered the read in progress; empty before.
    std::optional<KnowledgeModelStore> served;
    /// Time of the store at the last read; a complete list is read if it is empty.
    std::optional<core::TimePoint> readUpTo;
    /// Lists that arrived during a read.
    std::vector<targets::Relayed> mailbox;
    targets::ListVersion relayedVersion;
    /// When this process last read each target.
    std::map<core::TargetId, core::TimePoint> seenAt;

    void report(core::TimePoint now, std::size_t coordinator);
    void loseReport();
    /// Handles the answer to the report.
    void receive(core::TimePoint now, const KnowledgeModelSettings &settings);
    /// Handles the answer to the read in progress; time may have passed since the store sent it.
    void finishRead(core::TimePoint now, const KnowledgeModelSettings &settings);
    void giveCoordinatorUp();
    /// What makes the follower's list wrong; empty if the store has listed it at some time since
    /// the follower last read each target, and since the time of which the list claims to be.
    std::string findOutdatedTarget(const KnowledgeModelStore &store) const;

    friend auto operator<=>(const KnowledgeModelFollower &,
                            const KnowledgeModelFollower &) = default;

private:
    void handle(const targets::Relayed &relayed, core::TimePoint now);
    /// False if the mailbox is full.
    bool accept(const targets::Relayed &relayed, core::TimePoint now);
    /// Handles the answer to a watch.
    void handleChanges(const KnowledgeModelStore &store, core::TimePoint handledAt);
    void adopt(const FleetUpdate &update, bool areTargetsAdopted,
               const KnowledgeModelSettings &settings);
};

} // namespace boragerack::decisions::testing
