#include "boragerack/runtime/Address.h"

#include <charconv>

namespace boragerack::runtime {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parseEndpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = address.substr(0, colon);
    const std::string_view portText = address.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);

    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(host), error);
    std::uint16_t port = 0;
    const auto [end, parseError] =
        std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error || parseError != std::errc() || end != portText.data() + portText.size())
        return std::nullopt;
    return tcp::endpoint(ip, port);
}

std::string formatEndpoint(const tcp::endpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

core::Result<std::string> openAcceptor(tcp::acceptor &acceptor, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                     "\"" + address + "\" is not an address <ip>:<port>");
    }
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error) {
        return core::makeNotRunError(core::ErrorCode::ConnectionFailed,
                                     "cannot listen on " + address + ": " + error.message());
    }
    return formatEndpoint(acceptor.local_endpoint());
}

} // namespace boragerack::runtime
