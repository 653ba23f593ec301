#include "Http2Implementation.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <utility>

namespace boragerack::peer {

namespace {

// All messages use the same few headers, so a small HPACK table saves memory on both sides of each
// link without increasing traffic.
constexpr std::uint32_t kHeaderTableBytes = 256;

// A client resets a stream when a call reaches its deadline. With the nghttp2 defaults (burst of
// 1000, then 33 per second) a slow receiver would close the whole connection.
constexpr std::uint64_t kResetBurst = 10000;
constexpr std::uint64_t kResetsPerSecond = 1000;

// Sent only by this class, and only for a message that was not delivered.
constexpr std::uint32_t kTooLargeCode = NGHTTP2_ENHANCE_YOUR_CALM;

nghttp2_nv makeHeader(std::string_view name, std::string_view value)
{
    // nghttp2 copies name and value and does not write to them.
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

Http2Session::Implementation::Implementation(Http2Role role, const Http2Limits &limits)
    : role_(role)
    , limits_(limits)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_option *option = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0 || nghttp2_option_new(&option) != 0)
        std::abort();
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, onFrameNotSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_max_deflate_dynamic_table_size(option, kHeaderTableBytes);
    nghttp2_option_set_stream_reset_rate_limit(option, kResetBurst, kResetsPerSecond);

    const int created = role == Http2Role::Client
        ? nghttp2_session_client_new2(&session_, callbacks, this, option)
        : nghttp2_session_server_new2(&session_, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 3> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits.maxConcurrentStreams},
        {NGHTTP2_SETTINGS_HEADER_TABLE_SIZE, kHeaderTableBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    // Only a client may disable push.
    const std::size_t count = settings.size() - (role == Http2Role::Client ? 0 : 1);
    // These calls fail only when out of memory.
    if (created != 0
        || nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), count) != 0)
        std::abort();
}

core::Result<std::int32_t> Http2Session::Implementation::submitRequest(std::string body)
{
    if (body.size() > limits_.maxMessageBytes) {
        return core::makeNotRunError(core::ErrorCode::TooLarge,
                                     "peer message of " + std::to_string(body.size())
                                         + " bytes exceeds "
                                         + std::to_string(limits_.maxMessageBytes) + " bytes");
    }
    auto stream = std::make_unique<Stream>();
    stream->outgoing = std::move(body);
    const std::array<nghttp2_nv, 4> headers = {
        makeHeader(":method", "POST"), makeHeader(":scheme", "http"), makeHeader(":path", "/"),
        // nghttp2 rejects a request without an authority; a one-byte value keeps it short.
        makeHeader(":authority", "p")};
    nghttp2_data_provider provider = {};
    provider.source.ptr = stream.get();
    provider.read_callback = readBody;
    const std::int32_t id = nghttp2_submit_request(session_, nullptr, headers.data(),
                                                   headers.size(), &provider, nullptr);
    if (id < 0) {
        return core::makeNotRunError(core::ErrorCode::ConnectionFailed,
                                     std::string("no stream for a peer message: ")
                                         + nghttp2_strerror(id));
    }
    streams_.emplace(id, std::move(stream));
    return id;
}

void Http2Session::Implementation::submitResponse(std::int32_t id, int status, std::string body)
{
    Stream *stream = find(id);
    if (!stream)
        return;
    if (body.size() > limits_.maxMessageBytes) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_INTERNAL_ERROR);
        return;
    }
    stream->outgoing = std::move(body);
    const std::string statusText = std::to_string(status);
    const nghttp2_nv header = makeHeader(":status", statusText);
    nghttp2_data_provider provider = {};
    provider.source.ptr = stream;
    provider.read_callback = readBody;
    nghttp2_submit_response(session_, id, &header, 1,
                            stream->outgoing.empty() ? nullptr : &provider);
}

void Http2Session::Implementation::cancel(std::int32_t id)
{
    Stream *stream = find(id);
    if (!stream)
        return;
    stream->isDelivered = true;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
}

void Http2Session::Implementation::submitPing()
{
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Session::Implementation::submitGoAway()
{
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session_), NGHTTP2_NO_ERROR,
                          nullptr, 0);
}

core::Result<core::Nothing> Http2Session::Implementation::receive(std::string_view bytes)
{
    const ssize_t consumed = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (consumed < 0) {
        return core::Error {core::ErrorCode::ProtocolViolation, core::Verdict::MayHaveRun,
                            std::string("peer connection: ")
                                + nghttp2_strerror(static_cast<int>(consumed)),
                            std::chrono::milliseconds(0)};
    }
    return core::Nothing {};
}

std::string Http2Session::Implementation::takeOutput(std::size_t maxBytes)
{
    std::string output;
    while (output.size() < maxBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(session_, &data);
        if (size <= 0)
            break;
        output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    return output;
}

std::vector<Http2Event> Http2Session::Implementation::failAll(const std::string &reason)
{
    for (const auto &[id, stream] : streams_) {
        if (stream->isDelivered)
            continue;
        const auto verdict = stream->isSent ? core::Verdict::MayHaveRun : core::Verdict::NotRun;
        events_.emplace_back(Http2StreamFailure {
            id,
            {core::ErrorCode::ConnectionFailed, verdict, reason, std::chrono::milliseconds(0)}});
    }
    streams_.clear();
    bufferedBytes_ = 0;
    return takeEvents();
}

bool Http2Session::Implementation::isSent(std::int32_t id) const
{
    const auto found = streams_.find(id);
    return found != streams_.end() && found->second->isSent;
}

bool Http2Session::Implementation::isFinished() const
{
    return !nghttp2_session_want_read(session_) && !nghttp2_session_want_write(session_);
}

Http2Session::Implementation::Stream *Http2Session::Implementation::find(std::int32_t id)
{
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second.get();
}

void Http2Session::Implementation::erase(std::int32_t id)
{
    const auto found = streams_.find(id);
    bufferedBytes_ -= found->second->incoming.size();
    streams_.erase(found);
}

core::Error Http2Session::Implementation::describeClose(const Stream &stream,
                                                        std::uint32_t code) const
{
    if (stream.isTooLarge) {
        return {core::ErrorCode::TooLarge, core::Verdict::MayHaveRun,
                "answer of a peer is too large", std::chrono::milliseconds(0)};
    }
    if (code == kTooLargeCode)
        return core::makeNotRunError(core::ErrorCode::TooLarge, "peer refused a large message");
    // RFC 9113 section 8.7: the server has not processed a refused stream.
    if (code == NGHTTP2_REFUSED_STREAM || !stream.isSent) {
        return core::makeNotRunError(core::ErrorCode::ConnectionFailed,
                                     "peer refused the stream of a message");
    }
    return {core::ErrorCode::ConnectionFailed, core::Verdict::MayHaveRun,
            std::string("peer ended the stream of a message: ") + nghttp2_http2_strerror(code),
            std::chrono::milliseconds(0)};
}

int Http2Session::Implementation::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame,
                                                 void *user)
{
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        self(user).streams_.emplace(frame->hd.stream_id, std::make_unique<Stream>());
    return 0;
}

int Http2Session::Implementation::onHeader(nghttp2_session *, const nghttp2_frame *frame,
                                           const std::uint8_t *name, std::size_t nameSize,
                                           const std::uint8_t *value, std::size_t valueSize,
                                           std::uint8_t, void *user)
{
    const std::string_view header(reinterpret_cast<const char *>(name), nameSize);
    Stream *stream = self(user).find(frame->hd.stream_id);
    // nghttp2 has checked that a status is a number of three digits.
    if (stream && header == ":status") {
        const char *text = reinterpret_cast<const char *>(value);
        std::from_chars(text, text + valueSize, stream->status);
    }
    return 0;
}

int Http2Session::Implementation::onData(nghttp2_session *session, std::uint8_t, std::int32_t id,
                                         const std::uint8_t *data, std::size_t size, void *user)
{
    Implementation &implementation = self(user);
    Stream *stream = implementation.find(id);
    if (!stream || stream->isDelivered || stream->isTooLarge)
        return 0;
    if (stream->incoming.size() + size > implementation.limits_.maxMessageBytes
        || implementation.bufferedBytes_ + size > implementation.limits_.maxBufferedBytes) {
        stream->isTooLarge = true;
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, kTooLargeCode);
        return 0;
    }
    stream->incoming.append(reinterpret_cast<const char *>(data), size);
    implementation.bufferedBytes_ += size;
    return 0;
}

int Http2Session::Implementation::onFrameReceived(nghttp2_session *, const nghttp2_frame *frame,
                                                  void *user)
{
    const bool mayEndStream = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!mayEndStream || !(frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
        return 0;
    Implementation &implementation = self(user);
    Stream *stream = implementation.find(frame->hd.stream_id);
    if (!stream || stream->isDelivered || stream->isTooLarge)
        return 0;
    stream->isDelivered = true;
    implementation.bufferedBytes_ -= stream->incoming.size();
    implementation.events_.emplace_back(
        Http2Message {frame->hd.stream_id, stream->status, std::exchange(stream->incoming, {})});
    return 0;
}

int Http2Session::Implementation::onFrameSent(nghttp2_session *, const nghttp2_frame *frame,
                                              void *user)
{
    if (frame->hd.type == NGHTTP2_HEADERS) {
        if (Stream *stream = self(user).find(frame->hd.stream_id))
            stream->isSent = true;
    }
    return 0;
}

int Http2Session::Implementation::onFrameNotSent(nghttp2_session *, const nghttp2_frame *frame,
                                                 int code, void *user)
{
    Implementation &implementation = self(user);
    Stream *stream = implementation.find(frame->hd.stream_id);
    if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST || !stream)
        return 0;
    if (!stream->isDelivered) {
        implementation.events_.emplace_back(
            Http2StreamFailure {frame->hd.stream_id,
                                core::makeNotRunError(core::ErrorCode::ConnectionFailed,
                                                      std::string("peer message was not sent: ")
                                                          + nghttp2_strerror(code))});
    }
    implementation.erase(frame->hd.stream_id);
    return 0;
}

int Http2Session::Implementation::onStreamClosed(nghttp2_session *, std::int32_t id,
                                                 std::uint32_t code, void *user)
{
    Implementation &implementation = self(user);
    Stream *stream = implementation.find(id);
    if (!stream)
        return 0;
    // A server reports no failure, because an incomplete request was never delivered.
    if (implementation.role_ == Http2Role::Client && !stream->isDelivered) {
        implementation.events_.emplace_back(
            Http2StreamFailure {id, implementation.describeClose(*stream, code)});
    }
    implementation.erase(id);
    return 0;
}

ssize_t Http2Session::Implementation::readBody(nghttp2_session *, std::int32_t,
                                               std::uint8_t *buffer, std::size_t size,
                                               std::uint32_t *flags, nghttp2_data_source *source,
                                               void *)
{
    auto &stream = *static_cast<Stream *>(source->ptr);
    const std::size_t count = std::min(size, stream.outgoing.size() - stream.outgoingOffset);
    std::copy_n(stream.outgoing.data() + stream.outgoingOffset, count, buffer);
    stream.outgoingOffset += count;
    if (stream.outgoingOffset == stream.outgoing.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        stream.outgoing = {};
        stream.outgoingOffset = 0;
    }
    return static_cast<ssize_t>(count);
}

} // namespace boragerack::peer
