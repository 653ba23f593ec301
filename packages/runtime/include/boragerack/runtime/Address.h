#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "boragerack/core/Result.h"

namespace boragerack::runtime {

/// Reads "<ip>:<port>"; IPv6 addresses stand in brackets.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

/// Opens the acceptor on "<ip>:<port>"; gives the address with the actual port.
core::Result<std::string> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor,
                                       const std::string &address);

} // namespace boragerack::runtime
