#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace boragerack::runtime {

/// Reads "<ip>:<port>"; IPv6 addresses stand in brackets.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace boragerack::runtime
