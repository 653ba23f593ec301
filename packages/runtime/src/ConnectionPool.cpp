#include "ConnectionPool.h"

#include <utility>

#include <boost/asio/buffer.hpp>

namespace boragerack::runtime {

using boost::asio::ip::tcp;

namespace {

/// An idle connection can be reused if a read would block; unexpected data or an end of stream
/// makes it unusable.
bool isReusable(tcp::socket &socket)
{
    boost::system::error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
}

} // namespace

HttpClient::Pool::Pool(boost::asio::io_context &ioContext, std::size_t maxIdlePerAddress)
    : ioContext_(ioContext)
    , maxIdlePerAddress_(maxIdlePerAddress)
{
}

std::shared_ptr<boost::beast::tcp_stream> HttpClient::Pool::acquire(const std::string &address)
{
    auto &streams = idle_[address];
    while (!streams.empty()) {
        IdleConnection idle = std::move(streams.back());
        streams.pop_back();
        if (idle.expiresAt > std::chrono::steady_clock::now() && isReusable(idle.stream->socket()))
            return std::move(idle.stream);
    }
    return nullptr;
}

void HttpClient::Pool::release(const std::string &address,
                               std::shared_ptr<boost::beast::tcp_stream> stream,
                               core::TimePoint expiresAt)
{
    auto &streams = idle_[address];
    const core::TimePoint now = std::chrono::steady_clock::now();
    std::erase_if(streams, [now](const IdleConnection &idle) { return idle.expiresAt <= now; });
    if (streams.size() < maxIdlePerAddress_)
        streams.push_back({std::move(stream), expiresAt});
}

void HttpClient::Pool::drop(const std::string &address)
{
    idle_.erase(address);
}

} // namespace boragerack::runtime
