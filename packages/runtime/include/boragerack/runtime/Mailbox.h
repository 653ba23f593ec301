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
    /// `capacity` must be a power of two; the mailbox holds up to `capacity - 1` messages.
    explicit Mailbox(std::size_t capacity)
        : channel_(capacity)
    {
    }

    /// Returns false if the mailbox is full or closed; the sender must report the rejection and its
    /// reason.
    [[nodiscard]] bool trySend(Message message)
    {
        return channel_.try_push(std::move(message)) == boost::fibers::channel_op_status::success;
    }

    /// Waits for space; returns false if the mailbox is closed. For streams with backpressure.
    [[nodiscard]] bool send(Message message)
    {
        return channel_.push(std::move(message)) == boost::fibers::channel_op_status::success;
    }

    /// Waits for a message; std::nullopt when the mailbox is closed and empty.
    std::optional<Message> receive()
    {
        Message message;
        if (channel_.pop(message) != boost::fibers::channel_op_status::success)
            return std::nullopt;
        return message;
    }

    /// Like receive, but also returns std::nullopt when the deadline expires.
    std::optional<Message> receiveUntil(core::TimePoint deadline)
    {
        Message message;
        if (channel_.pop_wait_until(message, deadline) != boost::fibers::channel_op_status::success)
            return std::nullopt;
        return message;
    }

    /// Returns a queued message without waiting; std::nullopt when the mailbox is empty. Lets a
    /// task process all queued messages before an expensive operation such as a write.
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
