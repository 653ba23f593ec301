#include "boragerack/peer/PeerServer.h"

#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include "PeerChartBindings.h"
#include "ServerConnection.h"
#include "boragerack/peer/PeerHandler.h"
#include "boragerack/peer/PeerResponder.h"
#include "boragerack/peer/ReplayGuard.h"
#include "boragerack/runtime/Address.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::peer {

using boost::asio::ip::tcp;

class PeerServer::Implementation
{
public:
    Implementation(boost::asio::io_context &ioContext, PeerHandler &handler,
                   std::shared_ptr<const MessageAuthenticator> authenticator,
                   const PeerServerOptions &options, std::shared_ptr<const PeerCharts> charts)
        : ioContext_(ioContext)
        , acceptor_(ioContext)
        , handler_(handler)
        , authenticator_(std::move(authenticator))
        , options_(options)
        , charts_(std::move(charts))
        , inbox_(std::make_shared<Inbox>(options.inboxCapacity))
        , inboxFiber_([this] { runtime::runTask("peer requests", [this] { handleRequests(); }); })
    {
    }

    ~Implementation()
    {
        stopAccepting();
        if (acceptFiber_.joinable())
            acceptFiber_.join();
        {
            std::unique_lock lock(mutex_);
            connectionEnded_.wait(lock, [this] { return connections_.empty(); });
        }
        inbox_->close();
        inboxFiber_.join();
    }

    core::Result<std::string> listen(const std::string &address)
    {
        auto opened = runtime::openAcceptor(acceptor_, address);
        if (core::isOk(opened))
            acceptFiber_ = boost::fibers::fiber(
                [this] { runtime::runTask("peer connections", [this] { acceptConnections(); }); });
        return opened;
    }

    void stopAccepting()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        // Iterates over a copy, because a connection may end while send() waits for a full mailbox.
        const auto connections = connections_;
        for (const auto &mailbox : connections)
            (void)mailbox->send(StopConnection {});
    }

    std::size_t connectionCount() const { return connections_.size(); }

private:
    void acceptConnections()
    {
        while (acceptor_.is_open()) {
            auto stream = std::make_shared<boost::beast::tcp_stream>(ioContext_);
            const runtime::IoResult accepted = runtime::awaitIo([&](auto handler) {
                acceptor_.async_accept(stream->socket(), std::move(handler));
            });
            if (accepted.error == boost::asio::error::operation_aborted)
                return;
            if (accepted.error) {
                // Usually the process is out of file descriptors; retry after connections have
                // ended.
                boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
                continue;
            }
            if (connections_.size() >= options_.maxConnections)
                continue;
            auto mailbox = std::make_shared<ConnectionMailbox>(options_.connectionMailboxCapacity);
            connections_.insert(mailbox);
            boost::fibers::fiber([this, stream = std::move(stream),
                                  mailbox = std::move(mailbox)]() mutable {
                serveConnection(std::move(stream), mailbox);
            }).detach();
        }
    }

    void serveConnection(std::shared_ptr<boost::beast::tcp_stream> stream,
                         const std::shared_ptr<ConnectionMailbox> &mailbox)
    {
        runtime::runGuarded("peer connection", [&] {
            ServerConnection connection(std::move(stream), authenticator_, options_,
                                        charts_->connection, mailbox, inbox_);
            connection.run();
        });
        connections_.erase(mailbox);
        connectionEnded_.notify_all();
    }

    void handleRequests()
    {
        ReplayGuard replayGuard;
        while (auto request = inbox_->receive()) {
            const Envelope &envelope = request->envelope;
            PeerResponder reply(std::move(request->sink), request->stream,
                                {envelope.sender, request->tag});
            if (core::isOk(
                    replayGuard.admit(envelope.sender, envelope.incarnation, envelope.counter)))
                handler_.handle(envelope, std::move(reply));
            else
                reply.rejectUnauthenticated();
        }
    }

    boost::asio::io_context &ioContext_;
    tcp::acceptor acceptor_;
    PeerHandler &handler_;
    std::shared_ptr<const MessageAuthenticator> authenticator_;
    PeerServerOptions options_;
    std::shared_ptr<const PeerCharts> charts_;
    std::shared_ptr<Inbox> inbox_;
    std::set<std::shared_ptr<ConnectionMailbox>> connections_;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable connectionEnded_;
    boost::fibers::fiber acceptFiber_;
    boost::fibers::fiber inboxFiber_;
};

PeerServer::PeerServer(boost::asio::io_context &ioContext, PeerHandler &handler,
                       std::shared_ptr<const MessageAuthenticator> authenticator,
                       const PeerServerOptions &options, std::shared_ptr<const PeerCharts> charts)
    : implementation_(std::make_unique<Implementation>(ioContext, handler, std::move(authenticator),
                                                       options, std::move(charts)))
{
}

PeerServer::~PeerServer() = default;

core::Result<std::string> PeerServer::listen(const std::string &address)
{
    return implementation_->listen(address);
}

void PeerServer::stopAccepting()
{
    implementation_->stopAccepting();
}

std::size_t PeerServer::connectionCount() const
{
    return implementation_->connectionCount();
}

} // namespace boragerack::peer
