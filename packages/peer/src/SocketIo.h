#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/fiber.hpp>

#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/ExceptionBoundary.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::peer {

/// Bytes read from the connection with this number, in order.
struct ReceivedBytes
{
    std::uint64_t connection = 0;
    std::string bytes;
};

/// The connection with this number can no longer be read; its reader has ended.
struct ReadEnded
{
    std::uint64_t connection = 0;
    std::string reason;
};

/// The writer of the connection with this number has ended; the reason is empty after success.
struct WriteEnded
{
    std::uint64_t connection = 0;
    std::string reason;
};

constexpr std::size_t kReadBytes = 8 * 1024;

/// Starts the fiber that reads a socket for the task that owns it. The last message is ReadEnded;
/// the fiber releases the socket before sending it.
template<class Input>
void startReader(std::shared_ptr<boost::beast::tcp_stream> stream,
                 std::shared_ptr<runtime::Mailbox<Input>> mailbox, std::uint64_t connection)
{
    boost::fibers::fiber([stream = std::move(stream), mailbox = std::move(mailbox),
                          connection]() mutable {
        runtime::IoResult result;
        runtime::runGuarded("peer reader", [&] {
            std::vector<char> buffer(kReadBytes);
            while (!result.error) {
                stream->expires_never();
                result = runtime::awaitIo([&](auto handler) {
                    stream->async_read_some(boost::asio::buffer(buffer), std::move(handler));
                });
                if (result.size > 0
                    && !mailbox->send(
                        ReceivedBytes {connection, std::string(buffer.data(), result.size)}))
                    break;
            }
        });
        stream.reset();
        (void)mailbox->send(ReadEnded {connection, result.error.message()});
    }).detach();
}

/// Starts a fiber that writes the bytes and then sends WriteEnded.
template<class Input>
void startWriter(std::shared_ptr<boost::beast::tcp_stream> stream,
                 std::shared_ptr<runtime::Mailbox<Input>> mailbox, std::uint64_t connection,
                 std::string bytes, std::chrono::milliseconds timeout)
{
    boost::fibers::fiber([stream = std::move(stream), mailbox = std::move(mailbox), connection,
                          bytes = std::move(bytes), timeout]() mutable {
        // Applies to the write only; a pending read keeps its own timeout.
        stream->expires_after(timeout);
        const runtime::IoResult result = runtime::awaitIo([&](auto handler) {
            boost::asio::async_write(*stream, boost::asio::buffer(bytes), std::move(handler));
        });
        stream.reset();
        (void)mailbox->send(
            WriteEnded {connection, result.error ? result.error.message() : std::string()});
    }).detach();
}

/// Writes as much as the socket accepts without blocking. Returns the number of bytes written, or
/// an error.
std::pair<std::size_t, boost::system::error_code> writeAvailable(boost::beast::tcp_stream &stream,
                                                                 const std::string &bytes);

/// Sets the options that all sockets of this package use.
void configureSocket(boost::beast::tcp_stream &stream);

} // namespace boragerack::peer
