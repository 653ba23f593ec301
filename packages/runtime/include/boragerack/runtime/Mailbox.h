#pragma once

#include <cstddef>
#include <optional>
#include <utility>

#include <boost/fiber/buffered_channel.hpp>

#include "boragerack/core/Clock.h"

namespace boragerack::runtime {

/// Bounded queue of messages to the task that owns it.
template<class Message>
class Mailbox
{
public:
    /// `capacity` is a power of two; one place less can be used.
    explicit Mailbox(std::size_t capacity)
        : channel_(capacity)
    {
    }

    /// False when the mailbox is full or closed; the sender reports the refusal with its reason.
    [[nodiscard]] bool trySend(Message message)
    {
        return channel_.try_push(std::move(message)) == boost::fibers::channel_op_status::success;
    }

    /// Waits for space; false when the mailbox is closed. For streams whose reader sets the pace.
    [[nodiscard]] bool send(Message message)
    {
        return channel_.push(std::move(message)) == boost::fibers::channel_op_status::success;
    }

    /// Waits for a message; nothing when the mailbox is closed and empty.
    std::optional<Message> receive()
    {
        Message message;
        if (channel_.pop(message) != boost::fibers::channel_op_status::success)
            return std::nullopt;
        return message;
    }

    /// As receive, but nothing also when the deadline passes.
    std::optional<Message> receiveUntil(core::TimePoint deadline)
    {
        Message message;
        if (channel_.pop_wait_until(message, deadline) != boost::fibers::channel_op_status::success)
            return std::nullopt;
        return message;
    }

    /// A message that is already there; nothing when the mailbox is empty. Lets a task handle all
    /// that has arrived before it does something costly, such as a write.
    std::optional<Message> tryReceive()
    {
        Message message;
        if (channel_.try_pop(message) != boost::fibers::channel_op_status::success)
            return std::nullopt;
        return message;
    }

    void close() { channel_.close(); }
    bool isClosed() const { return channel_.is_closed(); }

private:
    boost::fibers::buffered_channel<Message> channel_;
};

} // namespace boragerack::runtime
