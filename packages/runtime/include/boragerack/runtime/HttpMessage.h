#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace boragerack::runtime {

struct HttpHeader
{
    std::string name;
    std::string value;

    friend auto operator<=>(const HttpHeader &, const HttpHeader &) = default;
};

/// Value of the first header with the name, which is case-insensitive; empty if there is none.
std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name);

struct HttpRequest
{
    std::string method;
    /// Path and query as received.
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    friend auto operator<=>(const HttpRequest &, const HttpRequest &) = default;
};

/// Path of the target without the query.
std::string_view pathOf(const HttpRequest &request);

/// Decoded value of a query parameter; empty if it is missing.
std::string queryParameter(const HttpRequest &request, std::string_view name);

struct HttpResponse
{
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    friend auto operator<=>(const HttpResponse &, const HttpResponse &) = default;
};

} // namespace boragerack::runtime
