#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "boragerack/runtime/Mailbox.h"

namespace boragerack::runtime {

/// Carries the single reply to a message. The requesting fiber waits on it; the replying task holds
/// a copy. A reply that no fiber is waiting for any more is discarded.
template<class T>
class ReplyChannel
{
public:
    ReplyChannel()
        : mailbox_(std::make_shared<Mailbox<T>>(2))
    {
    }

    void set(T value) const { static_cast<void>(mailbox_->trySend(std::move(value))); }

    std::optional<T> waitUntil(core::TimePoint deadline) const
    {
        return mailbox_->receiveUntil(deadline);
    }

private:
    std::shared_ptr<Mailbox<T>> mailbox_;
};

} // namespace boragerack::runtime
