#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "boragerack/decisions/AttemptController.h"
#include "boragerack/decisions/ConnectionMonitor.h"

namespace boragerack::decisions::testing {

/// Settings of one exploration of the states of a request and its connections.
struct ModelSettings
{
    std::shared_ptr<const AttemptBinding> attemptChart;
    std::shared_ptr<const ConnectionBinding> connectionChart;
    SendPolicy policy = SendPolicy::AtMostOnce;
    bool canResume = false;
    std::uint32_t maxAttempts = 2;
    /// Disables a check: events are attributed to the current attempt.
    bool ignoresAttemptNumber = false;
    /// Disables a check: the attempt that an answer names is not compared.
    bool ignoresEcho = false;
};

struct ModelResult
{
    std::size_t states = 0;
    std::size_t steps = 0;
    std::size_t endStates = 0;
    /// Pairs of states of the current attempt and its connection.
    std::set<std::pair<AttemptState, ConnectionState>> pairs;
    /// First property that was violated; empty if all hold.
    std::string violation;
};

/// Visits every reachable state, breadth first, and checks the properties after each step.
ModelResult exploreAttemptModel(const ModelSettings &settings);

} // namespace boragerack::decisions::testing
