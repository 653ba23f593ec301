#pragma once

#include <functional>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/runtime/HttpServer.h"

namespace boragerack::runtime {

class ByteBudget;
class ByteReservation;
class HttpHandler;
class HttpRequestParser;

/// Server side of one connection; runs on the fiber that owns its socket.
class HttpConnection final : public HttpResponder
{
public:
    /// `limits` must outlive the connection; changes apply from the next request on.
    HttpConnection(boost::beast::tcp_stream stream, HttpHandler &handler, const HttpLimits &limits,
                   std::shared_ptr<ByteBudget> buffers);
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    ~HttpConnection() override;

    /// Serves requests until the connection is closed.
    void run();

    /// Closes the connection if it is idle, or else after the request in progress.
    void closeWhenIdle();

    bool isBusy() const { return isBusy_; }

    bool send(const HttpResponse &response) override;
    bool startStream(unsigned status, const std::vector<HttpHeader> &headers) override;
    bool writePart(std::string_view part) override;
    bool finishStream() override;
    void abortConnection() override;
    void setDisconnectCallback(std::function<void()> onDisconnect) override;
    void closeAfterAnswer() override { keepAlive_ = false; }

private:
    struct DisconnectWatch;

    bool serveRequest();
    bool waitForRequest();
    /// Lets the buffer hold a head of the largest size and what is read beyond it.
    void limitBuffer();
    bool readBody(HttpRequestParser &parser, ByteReservation &reservation);
    /// Answers a request whose handler threw an exception.
    void failRequest();
    void startDisconnectWatch();
    void rejectMalformed(const boost::system::error_code &error);
    void reject(unsigned status, const std::string &reason);
    template<class Initiate>
    bool write(Initiate &&initiate);

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    HttpHandler &handler_;
    const HttpLimits &limits_;
    std::shared_ptr<ByteBudget> buffers_;
    std::shared_ptr<DisconnectWatch> watch_;
    bool isBusy_ = false;
    bool isStreaming_ = false;
    bool keepAlive_ = true;
    bool hasResponded_ = false;
};

} // namespace boragerack::runtime
