#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>

#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::runtime {

/// Parses a request into an HttpRequest. The containers of Boost.Beast throw std::length_error for
/// a header of 64 KiB or more, whatever the header limit of the parser is. Trailers are discarded.
class HttpRequestParser final : public boost::beast::http::basic_parser<true>
{
public:
    /// Complete when is_done() is true; before, the head if is_header_done() is true.
    const HttpRequest &request() const { return request_; }
    HttpRequest release() { return std::move(request_); }

    /// Whether the length of the body is unambiguous and the target is a path. HTTP parsers can
    /// disagree on the end of other requests, which could smuggle another one in their body.
    bool isUnambiguous() const;

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, Text methodText, Text target, int version,
                         Error &error) override;
    void on_response_impl(int status, Text reason, int version, Error &error) override;
    void on_field_impl(boost::beast::http::field name, Text nameText, Text value,
                       Error &error) override;
    void on_header_impl(Error &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &error) override;
    std::size_t on_body_impl(Text part, Error &error) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, Error &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t rest, Text part, Error &error) override;
    void on_finish_impl(Error &error) override;

    std::size_t count(std::string_view name) const;

    HttpRequest request_;
    int version_ = 0;
};

} // namespace boragerack::runtime
