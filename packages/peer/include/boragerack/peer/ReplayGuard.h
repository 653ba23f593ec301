#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"

namespace boragerack::peer {

/// Remembers which counters of which senders were seen. Its memory is bounded: one window a sender,
/// and at most a fixed number of senders, of which the longest silent one is forgotten.
class ReplayGuard
{
public:
    /// Messages on different HTTP/2 streams can overtake each other by at most this many.
    static constexpr std::size_t kWindow = 1024;

    explicit ReplayGuard(std::size_t maxSenders = 2048);

    /// Records the counter. Fails when it was seen, is older than the window, or belongs to an
    /// incarnation before the sender's latest one.
    core::Result<core::Nothing> admit(const core::InstanceId &sender, std::uint64_t incarnation,
                                      std::uint64_t counter);

    std::size_t senderCount() const { return senders_.size(); }

private:
    struct Sender
    {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        std::uint64_t lastUse = 0;
        // Bit `counter % kWindow` says whether the counter was seen.
        std::array<std::uint64_t, kWindow / 64> seen = {};
    };

    void forgetLongestSilent();

    std::size_t maxSenders_;
    std::uint64_t uses_ = 0;
    std::unordered_map<core::InstanceId, Sender> senders_;
};

} // namespace boragerack::peer
