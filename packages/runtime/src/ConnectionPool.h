#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "boragerack/runtime/HttpClient.h"

namespace boragerack::runtime {

/// Kept connections of a client, by address.
class HttpClient::Pool
{
public:
    Pool(boost::asio::io_context &ioContext, std::size_t maxIdlePerAddress);

    boost::asio::io_context &ioContext() { return ioContext_; }

    /// A kept connection that its server has not closed, or null.
    std::unique_ptr<boost::beast::tcp_stream> take(const std::string &address);
    void keep(const std::string &address, std::unique_ptr<boost::beast::tcp_stream> stream);
    void drop(const std::string &address);

private:
    boost::asio::io_context &ioContext_;
    std::size_t maxIdlePerAddress_;
    std::map<std::string, std::vector<std::unique_ptr<boost::beast::tcp_stream>>> idle_;
};

} // namespace boragerack::runtime
