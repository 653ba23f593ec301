#pragma once

namespace boragerack::runtime {

class HttpResponder;
struct HttpRequest;

/// Handles requests; called on the fiber of the connection that received the request.
class HttpHandler
{
public:
    HttpHandler() = default;
    HttpHandler(const HttpHandler &) = delete;
    HttpHandler &operator=(const HttpHandler &) = delete;
    virtual ~HttpHandler() = default;

    virtual void handle(const HttpRequest &request, HttpResponder &responder) = 0;
};

} // namespace boragerack::runtime
