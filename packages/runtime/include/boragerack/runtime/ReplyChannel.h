#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "boragerack/runtime/Mailbox.h"

namespace boragerack::runtime {

/// Place for the one answer to a message. The asking fiber waits on it; the answering task keeps a
/// copy. An answer that nobody waits for any more is dropped.
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
