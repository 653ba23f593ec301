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

/// One walk through everything a request and its connections can meet.
struct ModelSettings
{
    std::shared_ptr<const AttemptBinding> attemptChart;
    std::shared_ptr<const ConnectionBinding> connectionChart;
    SendPolicy policy = SendPolicy::AtMostOnce;
    bool canResume = false;
    std::uint32_t maxAttempts = 2;
    /// Switch: events are taken as if they came from the current attempt.
    bool ignoresAttemptNumber = false;
    /// Switch: the attempt that an answer names is not compared.
    bool ignoresEcho = false;
};

struct ModelResult
{
    std::size_t states = 0;
    std::size_t steps = 0;
    std::size_t endStates = 0;
    /// Pairs of states of the current attempt and its connection.
    std::set<std::pair<AttemptState, ConnectionState>> pairs;
    /// First broken property; empty when all hold.
    std::string violation;
};

/// Visits every reachable combination, breadth first, and checks the properties in each step.
ModelResult walkAttemptModel(const ModelSettings &settings);

} // namespace boragerack::decisions::testing
