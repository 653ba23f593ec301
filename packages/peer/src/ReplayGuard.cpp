#include "boragerack/peer/ReplayGuard.h"

#include <algorithm>
#include <string>

namespace boragerack::peer {

namespace {

core::Error makeRejection(const core::InstanceId &sender, const std::string &reason)
{
    return core::makeNotRunError(core::ErrorCode::Unauthenticated,
                                 "message of peer \"" + sender.value + "\" " + reason);
}

} // namespace

ReplayGuard::ReplayGuard(std::size_t maxSenders)
    : maxSenders_(std::max<std::size_t>(maxSenders, 1))
{
}

core::Result<core::Nothing> ReplayGuard::admit(const core::InstanceId &sender,
                                               std::uint64_t incarnation, std::uint64_t counter)
{
    auto found = senders_.find(sender);
    if (found == senders_.end()) {
        if (senders_.size() >= maxSenders_)
            evictLeastRecentlyUsed();
        found = senders_.try_emplace(sender).first;
        found->second.incarnation = incarnation;
    }
    Sender &state = found->second;
    if (incarnation < state.incarnation)
        return makeRejection(sender, "belongs to an earlier incarnation");
    if (incarnation > state.incarnation)
        state = Sender {incarnation, 0, 0, {}};
    state.lastUsed = ++useCount_;

    const auto maskOf = [](std::uint64_t value) { return std::uint64_t(1) << value % 64; };
    if (counter > state.highest) {
        if (counter - state.highest >= kWindow) {
            state.seen = {};
        } else {
            for (std::uint64_t next = state.highest + 1; next <= counter; ++next)
                state.seen[next % kWindow / 64] &= ~maskOf(next);
        }
        state.highest = counter;
    } else if (state.highest - counter >= kWindow) {
        return makeRejection(sender, "is older than the replay window");
    }
    std::uint64_t &word = state.seen[counter % kWindow / 64];
    if (word & maskOf(counter))
        return makeRejection(sender, "was already received");
    word |= maskOf(counter);
    return core::Nothing {};
}

void ReplayGuard::evictLeastRecentlyUsed()
{
    senders_.erase(
        std::min_element(senders_.begin(), senders_.end(), [](const auto &left, const auto &right) {
            return left.second.lastUsed < right.second.lastUsed;
        }));
}

} // namespace boragerack::peer
