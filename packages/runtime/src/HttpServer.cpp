#include "boragerack/runtime/HttpServer.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include "HttpConnection.h"
#include "boragerack/runtime/Address.h"
#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/ByteBudget.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::runtime {

using boost::asio::ip::tcp;

namespace {

/// Longer than any connection; the clock's type cannot represent the end of much longer times.
constexpr std::chrono::hours kMaxTimeout(24);

/// The limits within what the parser and the timers can represent.
HttpLimits toSupported(HttpLimits limits)
{
    limits.maxHeaderBytes =
        std::min<std::size_t>(limits.maxHeaderBytes, std::numeric_limits<std::uint32_t>::max());
    for (std::chrono::milliseconds *timeout :
         {&limits.idleTimeout, &limits.headerTimeout, &limits.bodyTimeout, &limits.writeTimeout})
        *timeout = std::min<std::chrono::milliseconds>(*timeout, kMaxTimeout);
    return limits;
}

} // namespace

class HttpServer::Implementation
{
public:
    Implementation(boost::asio::io_context &ioContext, HttpHandler &handler,
                   const HttpLimits &limits, std::shared_ptr<ByteBudget> buffers)
        : ioContext_(ioContext)
        , acceptor_(ioContext)
        , handler_(handler)
        , limits_(toSupported(limits))
        , buffers_(buffers ? std::move(buffers) : std::make_shared<ByteBudget>())
    {
    }

    ~Implementation()
    {
        stopAccepting();
        if (acceptFiber_.joinable())
            acceptFiber_.join();
        std::unique_lock lock(mutex_);
        connectionEnded_.wait(lock, [this] { return connections_.empty(); });
    }

    core::Result<std::string> listen(const std::string &address)
    {
        auto opened = openAcceptor(acceptor_, address);
        if (core::isOk(opened))
            acceptFiber_ = boost::fibers::fiber(
                [this] { runTask("caller connections", [this] { acceptConnections(); }); });
        return opened;
    }

    void stopAccepting()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (HttpConnection *connection : connections_)
            connection->closeWhenIdle();
    }

    void updateLimits(const HttpLimits &limits) { limits_ = toSupported(limits); }

    std::size_t connectionCount() const { return connections_.size(); }

    std::size_t requestsInProgress() const
    {
        return static_cast<std::size_t>(
            std::count_if(connections_.begin(), connections_.end(),
                          [](const HttpConnection *connection) { return connection->isBusy(); }));
    }

private:
    void acceptConnections()
    {
        while (acceptor_.is_open()) {
            tcp::socket socket(ioContext_);
            const IoResult accepted =
                awaitIo([&](auto handler) { acceptor_.async_accept(socket, std::move(handler)); });
            if (accepted.error == boost::asio::error::operation_aborted)
                return;
            if (accepted.error) {
                // Typically the process is out of file descriptors; retry after connections have
                // closed.
                boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
                continue;
            }
            if (connections_.size() >= limits_.maxConnections)
                continue;
            boost::fibers::fiber([this,
                                  stream = boost::beast::tcp_stream(std::move(socket))]() mutable {
                serveConnection(std::move(stream));
            }).detach();
        }
    }

    void serveConnection(boost::beast::tcp_stream stream)
    {
        {
            HttpConnection connection(std::move(stream), handler_, limits_, buffers_);
            connections_.insert(&connection);
            runGuarded("caller connection", [&] {
                if (acceptor_.is_open())
                    connection.run();
            });
            connections_.erase(&connection);
        }
        connectionEnded_.notify_all();
    }

    boost::asio::io_context &ioContext_;
    tcp::acceptor acceptor_;
    HttpHandler &handler_;
    HttpLimits limits_;
    std::shared_ptr<ByteBudget> buffers_;
    boost::fibers::fiber acceptFiber_;
    std::set<HttpConnection *> connections_;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable connectionEnded_;
};

HttpServer::HttpServer(boost::asio::io_context &ioContext, HttpHandler &handler,
                       const HttpLimits &limits, std::shared_ptr<ByteBudget> buffers)
    : implementation_(
        std::make_unique<Implementation>(ioContext, handler, limits, std::move(buffers)))
{
}

HttpServer::~HttpServer() = default;

core::Result<std::string> HttpServer::listen(const std::string &address)
{
    return implementation_->listen(address);
}

void HttpServer::updateLimits(const HttpLimits &limits)
{
    implementation_->updateLimits(limits);
}

void HttpServer::stopAccepting()
{
    implementation_->stopAccepting();
}

std::size_t HttpServer::connectionCount() const
{
    return implementation_->connectionCount();
}

std::size_t HttpServer::requestsInProgress() const
{
    return implementation_->requestsInProgress();
}

} // namespace boragerack::runtime
