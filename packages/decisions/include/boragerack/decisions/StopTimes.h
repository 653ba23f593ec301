#pragma once

#include <chrono>
#include <optional>

namespace boragerack::decisions {

/// Periods of a planned shutdown, each measured from the stop request.
struct StopTimes
{
    /// New requests are admitted for this long, because callers have cached the node's address.
    std::chrono::milliseconds admission = {};
    /// Admitted requests are sent to targets for this long; the termination would cut off the
    /// answer to a later one. Empty if the node waits for all requests in flight.
    std::optional<std::chrono::milliseconds> dispatch = std::nullopt;
    /// The process terminates after this long, whatever is in flight. Empty as above.
    std::optional<std::chrono::milliseconds> termination = std::nullopt;

    friend bool operator==(const StopTimes &, const StopTimes &) = default;
};

} // namespace boragerack::decisions
