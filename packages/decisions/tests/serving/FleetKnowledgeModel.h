#pragma once

#include <cstddef>
#include <string>

namespace boragerack::decisions::testing {

/// Settings of one exploration of what a node knows about the targets of its fleet.
struct KnowledgeModelSettings
{
    /// Sequences of at most this many events are explored.
    std::size_t maxSteps = 0;
    /// Disables a check: an answer without state confirms the list that was relayed last
    /// (review/8).
    bool confirmsWithoutState = false;
    /// Disables a check: an update is adopted whatever versions it builds on (review/6).
    bool adoptsAnyUpdate = false;
    /// Disables a check: the answer to a read counts as handled when the read was sent (issue 50).
    bool datesAnswersByTheirCall = false;
};

struct KnowledgeModelResult
{
    std::size_t states = 0;
    std::size_t steps = 0;
    /// First property that was violated, and the events that led to it; empty if all hold.
    std::string violation;
};

/// Visits every state that is reachable by sequences of events at a store, two successive
/// coordinators, a relay and a follower, breadth first. After each step the follower may use only
/// targets that were listed at some time since what it has seen itself, and since the time of which
/// its list claims to be; and once messages flow, it must follow the current coordinator.
KnowledgeModelResult exploreKnowledgeModel(const KnowledgeModelSettings &settings);

} // namespace boragerack::decisions::testing
