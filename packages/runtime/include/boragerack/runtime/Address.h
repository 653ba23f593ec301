#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "boragerack/core/Result.h"

namespace boragerack::runtime {

/// Parses "<ip>:<port>"; IPv6 addresses are enclosed in brackets.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

/// Opens the acceptor on "<ip>:<port>" and returns the address with the port that was bound.
core::Result<std::string> openAcceptor(boost::asio::ip::tcp::acceptor &acceptor,
                                       const std::string &address);

} // namespace boragerack::runtime
