#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "ConnectionLifecycle.h"
#include "ReplySink.h"
#include "SessionSocket.h"
#include "boragerack/core/Clock.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/PeerOptions.h"

namespace boragerack::peer {

struct StopConnection
{
};

using ConnectionInput =
    std::variant<StopConnection, ReceivedBytes, ReadEnded, WriteEnded, RequestOutcome>;
using ConnectionMailbox = runtime::Mailbox<ConnectionInput>;

/// A request with a verified tag, queued for the task that checks for replays and handles it.
struct IncomingRequest
{
    Envelope envelope;
    core::Digest tag;
    std::int32_t stream = 0;
    std::shared_ptr<ReplySink> sink;
};

using Inbox = runtime::Mailbox<IncomingRequest>;

/// The task of one accepted connection. It owns the socket and the session.
class ServerConnection
{
public:
    ServerConnection(std::shared_ptr<boost::beast::tcp_stream> stream,
                     std::shared_ptr<const MessageAuthenticator> authenticator,
                     const PeerServerOptions &options,
                     std::shared_ptr<const ConnectionBinding> binding,
                     std::shared_ptr<ConnectionMailbox> mailbox, std::shared_ptr<Inbox> inbox);

    void run();

private:
    class Sink;

    core::TimePoint nextDue() const;
    void handleInput(ConnectionInput &input);
    void handleReceivedBytes(const ReceivedBytes &received);
    void handleRequest(const Http2Message &message);
    void respond(const RequestOutcome &outcome);
    void reject(std::int32_t stream, const std::string &reason);
    void advance(core::TimePoint now);
    void flush();
    void fire(PeerConnectionChartEvent event);
    void awaitIoFibers();

    std::shared_ptr<const MessageAuthenticator> authenticator_;
    PeerServerOptions options_;
    std::shared_ptr<ConnectionMailbox> mailbox_;
    std::shared_ptr<Inbox> inbox_;
    std::shared_ptr<ReplySink> sink_;
    ConnectionChart chart_;
    SessionSocket<ConnectionInput> connection_;
    // Number of reader and writer fibers that have not reported their end. The reader starts with
    // the connection.
    std::size_t ioFibers_ = 1;
    core::TimePoint lastReceived_;
    core::TimePoint drainDeadline_;
    bool hasLoggedRejection_ = false;
};

} // namespace boragerack::peer
