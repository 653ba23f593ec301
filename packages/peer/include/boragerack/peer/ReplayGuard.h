#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"

namespace boragerack::peer {

/// Records which counters of each sender were received. Memory is bounded: one window per sender
/// and a maximum number of senders, beyond which the least recently used one is evicted.
class ReplayGuard
{
public:
    /// Number of counters by which messages on different HTTP/2 streams may arrive out of order.
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
        std::uint64_t lastUsed = 0;
        // Bit `counter % kWindow` is set when the counter was received.
        std::array<std::uint64_t, kWindow / 64> seen = {};
    };

    void evictLeastRecentlyUsed();

    std::size_t maxSenders_;
    std::uint64_t useCount_ = 0;
    std::unordered_map<core::InstanceId, Sender> senders_;
};

} // namespace boragerack::peer
