#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nghttp2/nghttp2.h>

#include "boragerack/peer/Http2Session.h"

namespace boragerack::peer {

/// State of an Http2Session and the nghttp2 callbacks that update it.
class Http2Session::Implementation
{
public:
    Implementation(Http2Role role, const Http2Limits &limits);
    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;
    ~Implementation() { nghttp2_session_del(session_); }

    core::Result<std::int32_t> submitRequest(std::string body);
    void submitResponse(std::int32_t id, int status, std::string body);
    void cancel(std::int32_t id);
    void submitPing();
    void submitGoAway();
    core::Result<core::Nothing> receive(std::string_view bytes);
    std::string takeOutput(std::size_t maxBytes);
    std::vector<Http2Event> takeEvents() { return std::exchange(events_, {}); }
    std::vector<Http2Event> failAll(const std::string &reason);
    bool isSent(std::int32_t id) const;
    std::size_t openStreams() const { return streams_.size(); }
    bool isFinished() const;

private:
    struct Stream
    {
        int status = 0;
        std::string incoming;
        std::string outgoing;
        std::size_t outgoingOffset = 0;
        bool isSent = false;
        bool isDelivered = false;
        bool isTooLarge = false;
    };

    static Implementation &self(void *user) { return *static_cast<Implementation *>(user); }
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                        std::uint8_t flags, void *user);
    static int onData(nghttp2_session *, std::uint8_t flags, std::int32_t id,
                      const std::uint8_t *data, std::size_t size, void *user);
    static int onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onFrameNotSent(nghttp2_session *, const nghttp2_frame *frame, int code, void *user);
    static int onStreamClosed(nghttp2_session *, std::int32_t id, std::uint32_t code, void *user);
    static ssize_t readBody(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                            std::size_t size, std::uint32_t *flags, nghttp2_data_source *source,
                            void *user);

    Stream *find(std::int32_t id);
    void erase(std::int32_t id);
    core::Error describeClose(const Stream &stream, std::uint32_t code) const;

    Http2Role role_;
    Http2Limits limits_;
    nghttp2_session *session_ = nullptr;
    std::unordered_map<std::int32_t, std::unique_ptr<Stream>> streams_;
    std::size_t bufferedBytes_ = 0;
    std::vector<Http2Event> events_;
};

} // namespace boragerack::peer
