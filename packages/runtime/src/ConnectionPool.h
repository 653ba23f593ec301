#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "boragerack/core/Clock.h"
#include "boragerack/runtime/HttpClient.h"

namespace boragerack::runtime {

/// Kept connections of a client, by address.
class HttpClient::Pool
{
public:
    Pool(boost::asio::io_context &ioContext, std::size_t maxIdlePerAddress);

    boost::asio::io_context &ioContext() { return ioContext_; }

    /// A kept connection that its server has not closed, or null.
    std::shared_ptr<boost::beast::tcp_stream> take(const std::string &address);
    /// Keeps the connection for another request until the given time.
    void keep(const std::string &address, std::shared_ptr<boost::beast::tcp_stream> stream,
              core::TimePoint until);
    void drop(const std::string &address);

private:
    boost::asio::io_context &ioContext_;
    std::size_t maxIdlePerAddress_;
    struct Idle
    {
        std::shared_ptr<boost::beast::tcp_stream> stream;
        core::TimePoint until;
    };
    std::map<std::string, std::vector<Idle>> idle_;
};

} // namespace boragerack::runtime
