#include "ServerConnection.h"

#include <chrono>
#include <utility>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::peer {

namespace {

constexpr int kStatusAnswer = 200;
constexpr int kStatusNoAnswer = 204;
constexpr int kStatusRejected = 403;

// A full inbox is drained within milliseconds unless the handler is overloaded.
constexpr std::chrono::milliseconds kRetryAfterFullInbox {100};

core::TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace

/// Sends outcomes to the mailbox of the task; outcomes for a closed connection are dropped.
class ServerConnection::Sink final : public ReplySink
{
public:
    explicit Sink(std::shared_ptr<ConnectionMailbox> mailbox)
        : mailbox_(std::move(mailbox))
    {
    }

    void deliver(RequestOutcome outcome) override { (void)mailbox_->send(std::move(outcome)); }

private:
    std::shared_ptr<ConnectionMailbox> mailbox_;
};

ServerConnection::ServerConnection(std::shared_ptr<boost::beast::tcp_stream> stream,
                                   std::shared_ptr<const MessageAuthenticator> authenticator,
                                   const PeerServerOptions &options,
                                   std::shared_ptr<const ConnectionBinding> binding,
                                   std::shared_ptr<ConnectionMailbox> mailbox,
                                   std::shared_ptr<Inbox> inbox)
    : authenticator_(std::move(authenticator))
    , options_(options)
    , mailbox_(std::move(mailbox))
    , inbox_(std::move(inbox))
    , sink_(std::make_shared<Sink>(mailbox_))
    , chart_(std::move(binding))
    , connection_(std::move(stream), Http2Role::Server, options.http2, mailbox_, 0,
                  options.writeTimeout)
    , lastReceived_(currentTime())
{
}

void ServerConnection::run()
{
    flush();
    while (!chart_.isFinished()) {
        // Drains the mailbox first, so that one write carries all available replies.
        for (auto input = mailbox_->receiveUntil(nextDue()); input; input = mailbox_->tryReceive())
            handleInput(*input);
        advance(currentTime());
        flush();
    }
    awaitIoFibers();
}

core::TimePoint ServerConnection::nextDue() const
{
    return chart_.accepts(PeerConnectionChartEvent::DrainTimeout)
        ? drainDeadline_
        : lastReceived_ + options_.unusedTimeout;
}

void ServerConnection::handleInput(ConnectionInput &input)
{
    if (const auto *received = std::get_if<ReceivedBytes>(&input)) {
        handleReceivedBytes(*received);
    } else if (const auto *outcome = std::get_if<RequestOutcome>(&input)) {
        respond(*outcome);
    } else if (std::holds_alternative<ReadEnded>(input)) {
        --ioFibers_;
        fire(PeerConnectionChartEvent::Lost);
    } else if (const auto *written = std::get_if<WriteEnded>(&input)) {
        --ioFibers_;
        connection_.writeEnded();
        if (!written->reason.empty())
            fire(PeerConnectionChartEvent::Lost);
    } else {
        fire(PeerConnectionChartEvent::Stop);
    }
}

void ServerConnection::handleReceivedBytes(const ReceivedBytes &received)
{
    if (chart_.isFinished())
        return;
    lastReceived_ = currentTime();
    const auto result = connection_.session().receive(received.bytes);
    for (const Http2Event &event : connection_.session().takeEvents()) {
        if (const auto *message = std::get_if<Http2Message>(&event))
            handleRequest(*message);
    }
    if (!core::isOk(result))
        fire(PeerConnectionChartEvent::Lost);
}

void ServerConnection::handleRequest(const Http2Message &message)
{
    auto verified = authenticator_->verifyRequest(message.body);
    if (!core::isOk(verified)) {
        reject(message.stream, core::errorOf(verified).message);
        return;
    }
    VerifiedRequest request = core::takeValue(std::move(verified));
    const ReplyContext identity = request.replyContext();
    if (!inbox_->trySend({std::move(request.envelope), request.tag, message.stream, sink_})) {
        respond({message.stream, identity,
                 core::makeNotRunError(core::ErrorCode::QueueFull, "inbox of the peer is full",
                                       kRetryAfterFullInbox),
                 false});
    }
}

void ServerConnection::respond(const RequestOutcome &outcome)
{
    if (chart_.isFinished())
        return;
    if (outcome.isRejected) {
        reject(outcome.stream,
               "message of peer \"" + outcome.request.sender.value
                   + "\" was received before or is too old");
    } else if (outcome.answer) {
        connection_.session().submitResponse(
            outcome.stream, kStatusAnswer,
            authenticator_->signReply(outcome.request, *outcome.answer).bytes);
    } else {
        connection_.session().submitResponse(outcome.stream, kStatusNoAnswer, {});
    }
}

void ServerConnection::reject(std::int32_t stream, const std::string &reason)
{
    connection_.session().submitResponse(stream, kStatusRejected, {});
    // Logged once per connection, so that an unauthenticated peer cannot flood the log.
    if (!std::exchange(hasLoggedRejection_, true))
        runtime::logEvent(runtime::LogEvent::PeerRejected, reason);
}

void ServerConnection::advance(core::TimePoint now)
{
    if (now >= nextDue()) {
        fire(PeerConnectionChartEvent::DrainTimeout);
        if (connection_.session().openStreams() == 0)
            fire(PeerConnectionChartEvent::Unused);
        else
            lastReceived_ = now;
    }
}

void ServerConnection::flush()
{
    if (chart_.isFinished())
        return;
    const bool wasWriting = connection_.isWriting();
    const std::string reason = connection_.flush();
    if (!wasWriting && connection_.isWriting())
        ++ioFibers_;
    if (!reason.empty())
        fire(PeerConnectionChartEvent::Lost);
    else if (connection_.session().isFinished())
        fire(chart_.accepts(PeerConnectionChartEvent::Drained) ? PeerConnectionChartEvent::Drained
                                                               : PeerConnectionChartEvent::Lost);
    else if (connection_.session().openStreams() == 0 && !connection_.isWriting())
        fire(PeerConnectionChartEvent::Drained);
}

void ServerConnection::fire(PeerConnectionChartEvent event)
{
    for (const PeerConnectionChartAction action : chart_.fire(event)) {
        switch (action) {
        case PeerConnectionChartAction::SendGoAway:
            connection_.session().submitGoAway();
            drainDeadline_ = currentTime() + options_.drainTimeout;
            break;
        case PeerConnectionChartAction::CloseConnection:
            connection_.close();
            break;
        }
    }
}

void ServerConnection::awaitIoFibers()
{
    while (ioFibers_ > 0) {
        if (auto input = mailbox_->receive())
            handleInput(*input);
    }
    mailbox_->close();
}

} // namespace boragerack::peer
