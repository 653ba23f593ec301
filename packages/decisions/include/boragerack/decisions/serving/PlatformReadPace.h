#pragma once

#include <chrono>
#include <cstdint>

namespace boragerack::decisions {

/// Decides how long a node waits between its reads of the platform. All nodes start to read when
/// their coordinator or the platform fails, so the delays grow with the fleet and the calls of all
/// nodes together do not.
class PlatformReadPace
{
public:
    /// Longest delay between two successful reads. Changes must be in effect within two seconds.
    static constexpr std::chrono::milliseconds kMaxReadDelay {1400};
    static constexpr std::chrono::milliseconds kMaxRetryDelay {4000};

    /// `nodes` is the number of nodes, zero if unknown. Other nodes use what a coordinator reads,
    /// and there is one of them, so its delays do not depend on the number of nodes.
    PlatformReadPace(std::uint32_t nodes, bool isCoordinator);

    /// Time for which a process waits for a relayed list after its start before it reads the list.
    std::chrono::milliseconds startDelay() const;
    std::chrono::milliseconds afterSuccess() const;
    /// Without jitter; the caller adds it.
    std::chrono::milliseconds afterFailures(std::uint32_t failures) const;

private:
    std::uint32_t nodes_;
    bool isCoordinator_;
};

} // namespace boragerack::decisions
