#include "HttpRequestParser.h"

#include <algorithm>
#include <new>
#include <string>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace boragerack::runtime {

namespace http = boost::beast::http;

namespace {

/// HTTP/1.1 as Boost.Beast encodes it.
constexpr int kHttpVersion = 11;

} // namespace

bool HttpRequestParser::isUnambiguous() const
{
    if (count("Host") > 1 || !request_.target.starts_with('/'))
        return false;
    if (count("Transfer-Encoding") == 0)
        return count("Content-Length") <= 1
            && findHeader(request_.headers, "Content-Length").find_first_not_of("0123456789")
            == std::string_view::npos;
    return version_ >= kHttpVersion && count("Content-Length") == 0
        && count("Transfer-Encoding") == 1
        && boost::beast::iequals(findHeader(request_.headers, "Transfer-Encoding"), "chunked");
}

std::size_t HttpRequestParser::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(request_.headers, [name](const HttpHeader &header) {
            return boost::beast::iequals(header.name, name);
        }));
}

void HttpRequestParser::on_request_impl(http::verb, Text methodText, Text target, int version,
                                        Error &)
{
    request_.method = std::string(methodText);
    request_.target = std::string(target);
    version_ = version;
}

void HttpRequestParser::on_response_impl(int, Text, int, Error &error)
{
    error = http::error::bad_method;
}

void HttpRequestParser::on_field_impl(http::field, Text nameText, Text value, Error &)
{
    if (!is_header_done())
        request_.headers.push_back({std::string(nameText), std::string(value)});
}

void HttpRequestParser::on_header_impl(Error &) { }

void HttpRequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &)
{
    request_.body.reserve(static_cast<std::size_t>(length.value_or(0)));
}

std::size_t HttpRequestParser::on_body_impl(Text part, Error &)
{
    request_.body.append(part.data(), part.size());
    return part.size();
}

void HttpRequestParser::on_chunk_header_impl(std::uint64_t, Text, Error &) { }

std::size_t HttpRequestParser::on_chunk_body_impl(std::uint64_t, Text part, Error &error)
{
    return on_body_impl(part, error);
}

void HttpRequestParser::on_finish_impl(Error &) { }

} // namespace boragerack::runtime
