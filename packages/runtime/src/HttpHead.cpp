#include "HttpHead.h"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace boragerack::runtime {

namespace http = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 3> kFramingHeaders {"Connection", "Content-Length",
                                                           "Transfer-Encoding"};
/// Requests with these methods name the length of their body even if there is none.
constexpr std::array<std::string_view, 3> kMethodsWithBody {"OPTIONS", "POST", "PUT"};

void append(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

void appendHeaders(std::string &head, const std::vector<HttpHeader> &headers)
{
    for (const HttpHeader &header : headers) {
        const bool isFraming =
            std::ranges::any_of(kFramingHeaders, [&header](std::string_view name) {
                return boost::beast::iequals(header.name, name);
            });
        if (!isFraming)
            append(head, header.name, header.value);
    }
}

} // namespace

std::string formatRequestHead(const HttpRequest &request, std::string_view address)
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (findHeader(request.headers, "Host").empty())
        append(head, "Host", address);
    appendHeaders(head, request.headers);
    if (!request.body.empty()
        || std::ranges::find(kMethodsWithBody, request.method) != kMethodsWithBody.end())
        append(head, "Content-Length", std::to_string(request.body.size()));
    return head + "\r\n";
}

std::string formatResponseHead(unsigned status, const std::vector<HttpHeader> &headers,
                               std::optional<std::size_t> bodySize, bool isKeptAlive)
{
    const boost::beast::string_view reason =
        http::obsolete_reason(static_cast<http::status>(status));
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
    appendHeaders(head, headers);
    if (!isKeptAlive)
        append(head, "Connection", "close");
    if (bodySize)
        append(head, "Content-Length", std::to_string(*bodySize));
    else
        append(head, "Transfer-Encoding", "chunked");
    return head + "\r\n";
}

} // namespace boragerack::runtime
