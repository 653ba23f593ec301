#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "SocketIo.h"
#include "boragerack/peer/Http2Session.h"

namespace boragerack::peer {

/// Socket and HTTP/2 session of one connection. A reader fiber, and a writer fiber when the socket
/// would block, perform the waiting I/O, so the owning task never waits for the socket.
template<class Input>
class SessionSocket
{
public:
    SessionSocket(std::shared_ptr<boost::beast::tcp_stream> stream, Http2Role role,
                  const Http2Limits &limits, std::shared_ptr<runtime::Mailbox<Input>> mailbox,
                  std::uint64_t number, std::chrono::milliseconds writeTimeout)
        : stream_(std::move(stream))
        , session_(role, limits)
        , mailbox_(std::move(mailbox))
        , number_(number)
        , writeTimeout_(writeTimeout)
    {
        configureSocket(*stream_);
        startReader(stream_, mailbox_, number_);
    }

    Http2Session &session() { return session_; }
    std::uint64_t number() const { return number_; }
    std::uint64_t bytesWritten() const { return bytesWritten_; }

    /// Writes the pending output of the session. Returns the reason if the connection is lost, or
    /// an empty string.
    std::string flush()
    {
        // Limits the output that is taken from the session before the socket accepts it.
        constexpr std::size_t kWriteBytes = 64 * 1024;
        while (!isWriting_) {
            std::string bytes = session_.takeOutput(kWriteBytes);
            if (bytes.empty())
                break;
            const auto [size, error] = writeAvailable(*stream_, bytes);
            if (error)
                return error.message();
            bytesWritten_ += bytes.size();
            if (size < bytes.size()) {
                isWriting_ = true;
                startWriter(stream_, mailbox_, number_, bytes.substr(size), writeTimeout_);
            }
        }
        return {};
    }

    void writeEnded() { isWriting_ = false; }
    bool isWriting() const { return isWriting_; }

    void close() { stream_->close(); }

private:
    std::shared_ptr<boost::beast::tcp_stream> stream_;
    Http2Session session_;
    std::shared_ptr<runtime::Mailbox<Input>> mailbox_;
    std::uint64_t number_;
    std::chrono::milliseconds writeTimeout_;
    std::uint64_t bytesWritten_ = 0;
    bool isWriting_ = false;
};

} // namespace boragerack::peer
