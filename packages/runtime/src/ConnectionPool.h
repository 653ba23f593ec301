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

/// Idle connections of a client, by address.
class HttpClient::Pool
{
public:
    Pool(boost::asio::io_context &ioContext, std::size_t maxIdlePerAddress);

    boost::asio::io_context &ioContext() { return ioContext_; }

    /// Returns an idle connection that the server has not closed, or null.
    std::shared_ptr<boost::beast::tcp_stream> acquire(const std::string &address);
    /// Adds the connection to the pool for reuse before `expiresAt`.
    void release(const std::string &address, std::shared_ptr<boost::beast::tcp_stream> stream,
                 core::TimePoint expiresAt);
    void drop(const std::string &address);

private:
    boost::asio::io_context &ioContext_;
    std::size_t maxIdlePerAddress_;
    struct IdleConnection
    {
        std::shared_ptr<boost::beast::tcp_stream> stream;
        core::TimePoint expiresAt;
    };
    std::map<std::string, std::vector<IdleConnection>> idle_;
};

} // namespace boragerack::runtime
