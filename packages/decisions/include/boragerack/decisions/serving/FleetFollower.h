#pragma once

#include <optional>

#include "boragerack/core/Clock.h"
#include "boragerack/decisions/serving/CoordinationMessages.h"
#include "boragerack/decisions/serving/TargetDirectory.h"

namespace boragerack::decisions {

/// What the answer to a report says about the state of the fleet.
struct AnswerContent
{
    /// The update belongs to this answer and builds on what the node knows, so it can be adopted.
    bool hasState = false;
    /// The list of targets, or the confirmation of one, that a coordinator with a valid lease
    /// distributes.
    std::optional<targets::Relayed> targets;
    friend bool operator==(const AnswerContent &, const AnswerContent &) = default;
};

/// Versions of the fleet's state that a task has adopted. Its reports name them, and the answers
/// contain the changes since then. The task may discard its lists while a report is in flight; the
/// changes in the answer do not restore them.
class FleetFollower
{
public:
    const FleetVersions &known() const { return known_; }

    /// Whether the known versions and the update add up to the versions that the update names.
    bool fits(const FleetUpdate &update) const;

    /// `update` holds the changes that are known after the answer. The result's times are never too
    /// recent: ages are relative to the answer, and `reportedAt` is before it.
    AnswerContent examine(const CoordinationAnswer &answer, const FleetUpdate &update,
                          core::TimePoint reportedAt) const;

    /// Records that an update that fits was adopted. A list of targets that was not adopted is
    /// requested again.
    void adopt(const FleetUpdate &update, bool areTargetsAdopted);

    /// Discards the known versions, so that only a complete update fits.
    void reset() { known_ = {}; }

    friend auto operator<=>(const FleetFollower &, const FleetFollower &) = default;

private:
    FleetVersions known_;
};

} // namespace boragerack::decisions
