#include "SocketIo.h"

namespace boragerack::peer {

std::pair<std::size_t, boost::system::error_code> writeAvailable(boost::beast::tcp_stream &stream,
                                                                 const std::string &bytes)
{
    boost::system::error_code error;
    const std::size_t size = stream.socket().write_some(boost::asio::buffer(bytes), error);
    if (error == boost::asio::error::would_block)
        error = {};
    return {size, error};
}

void configureSocket(boost::beast::tcp_stream &stream)
{
    boost::system::error_code ignored;
    // Messages are small and latency-sensitive, so Nagle's algorithm is disabled.
    stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    stream.socket().non_blocking(true, ignored);
}

} // namespace boragerack::peer
