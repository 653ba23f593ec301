#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::runtime {

class HttpHandler;

/// Server side of one connection; runs on the fiber that owns its socket.
class HttpConnection final : public HttpResponder
{
public:
    HttpConnection(boost::beast::tcp_stream stream, HttpHandler &handler, const HttpLimits &limits);

    /// Answers requests until the connection ends.
    void run();

    /// Ends a wait for the next request; a request in progress is finished first.
    void closeWhenIdle();

    bool isBusy() const { return isBusy_; }

    bool send(const HttpResponse &response) override;
    bool startStream(unsigned status, const std::vector<HttpHeader> &headers) override;
    bool writePart(std::string_view part) override;
    bool finishStream() override;
    void abandon() override;

private:
    bool serveOne();
    void refuseMalformed(const boost::system::error_code &error);
    template<class Initiate>
    bool write(Initiate &&initiate);

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    HttpHandler &handler_;
    HttpLimits limits_;
    bool isBusy_ = false;
    bool isStreaming_ = false;
    bool keepAlive_ = true;
    bool hasAnswered_ = false;
};

} // namespace boragerack::runtime
