#include "LinkTask.h"

#include <algorithm>
#include <chrono>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::peer {

namespace {

constexpr int kStatusAnswer = 200;
constexpr int kStatusNoAnswer = 204;
constexpr int kStatusRejected = 403;

// Suggested delay before a retry after a full queue.
constexpr std::chrono::milliseconds kRetryAfterQueueFull {100};

core::TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

core::Error makeMayHaveRunError(core::ErrorCode code, std::string message)
{
    return {code, core::Verdict::MayHaveRun, std::move(message), std::chrono::milliseconds(0)};
}

} // namespace

LinkTask::LinkTask(boost::asio::io_context &ioContext, PeerLinkIdentity peer,
                   boost::asio::ip::tcp::endpoint endpoint,
                   std::shared_ptr<const MessageAuthenticator> authenticator,
                   const PeerLinkOptions &options, LinkLifecycle lifecycle,
                   std::shared_ptr<LinkMailbox> mailbox)
    : ioContext_(ioContext)
    , peer_(std::move(peer))
    , endpoint_(std::move(endpoint))
    , authenticator_(std::move(authenticator))
    , options_(options)
    , lifecycle_(std::move(lifecycle))
    , mailbox_(std::move(mailbox))
    , counter_(peer_.firstCounter)
{
}

void LinkTask::run()
{
    while (lifecycle_.state() != LinkState::Closed) {
        // Drains the mailbox first, so that one write carries all queued messages.
        for (auto input = waitForInput(); input; input = mailbox_->tryReceive())
            handleInput(*input);
        const core::TimePoint now = currentTime();
        expireCalls(now);
        perform(lifecycle_.advance(now, waitingSince_));
        flush();
    }
    awaitIoFibers();
}

PeerLinkStatistics LinkTask::statistics() const
{
    PeerLinkStatistics statistics = statistics_;
    if (connection_)
        statistics.bytesWritten += connection_->bytesWritten();
    return statistics;
}

std::optional<LinkInput> LinkTask::waitForInput()
{
    auto due = lifecycle_.nextDue(waitingSince_);
    if (!deadlines_.empty())
        due = std::min(due.value_or(core::TimePoint::max()), deadlines_.begin()->first);
    return due ? mailbox_->receiveUntil(*due) : mailbox_->receive();
}

void LinkTask::handleInput(LinkInput &input)
{
    if (auto *message = std::get_if<std::unique_ptr<OutgoingMessage>>(&input)) {
        pending_.push_back(std::move(*message));
        fire(PeerLinkChartEvent::MessageQueued);
        // The chart of a closed link ignores MessageQueued.
        if (lifecycle_.state() == LinkState::Closed)
            failPending();
    } else if (const auto *received = std::get_if<ReceivedBytes>(&input)) {
        handleReceivedBytes(*received);
    } else if (const auto *readEnd = std::get_if<ReadEnded>(&input)) {
        --ioFibers_;
        if (connection_ && connection_->number() == readEnd->connection)
            handleConnectionLoss(readEnd->reason);
    } else if (const auto *writeEnd = std::get_if<WriteEnded>(&input)) {
        --ioFibers_;
        if (connection_ && connection_->number() == writeEnd->connection) {
            connection_->writeEnded();
            if (!writeEnd->reason.empty())
                handleConnectionLoss(writeEnd->reason);
        }
    } else {
        disconnectReason_ = "link is stopped";
        fire(PeerLinkChartEvent::Stop);
    }
}

void LinkTask::handleReceivedBytes(const ReceivedBytes &received)
{
    statistics_.bytesRead += received.bytes.size();
    if (!connection_ || connection_->number() != received.connection)
        return;
    fire(PeerLinkChartEvent::Received);
    const auto result = connection_->session().receive(received.bytes);
    handleSessionEvents(connection_->session().takeEvents());
    if (!core::isOk(result))
        handleConnectionLoss(core::errorOf(result).message);
}

void LinkTask::handleSessionEvents(const std::vector<Http2Event> &events)
{
    for (const Http2Event &event : events) {
        if (const auto *message = std::get_if<Http2Message>(&event)) {
            fire(PeerLinkChartEvent::Answered);
            if (const auto call = calls_.find(message->stream); call != calls_.end())
                finishCall(message->stream, verifyAnswer(call->second, *message));
        } else {
            const auto &failure = std::get<Http2StreamFailure>(event);
            finishCall(failure.stream, failure.error);
        }
    }
}

void LinkTask::fire(PeerLinkChartEvent event)
{
    perform(lifecycle_.handle(event, currentTime()));
}

void LinkTask::perform(const std::vector<PeerLinkChartAction> &actions)
{
    for (const PeerLinkChartAction action : actions) {
        switch (action) {
        case PeerLinkChartAction::OpenConnection:
            openConnection();
            break;
        case PeerLinkChartAction::CloseConnection:
            closeConnection();
            break;
        case PeerLinkChartAction::SendPending:
            sendPending();
            break;
        case PeerLinkChartAction::FailPending:
            failPending();
            break;
        case PeerLinkChartAction::SendProbe:
            disconnectReason_ = "nothing was received for too long";
            connection_->session().submitPing();
            break;
        case PeerLinkChartAction::StartBackoff:
        case PeerLinkChartAction::ResetBackoff:
            break; // Performed by LinkLifecycle.
        }
    }
}

void LinkTask::openConnection()
{
    auto stream = std::make_shared<boost::beast::tcp_stream>(ioContext_);
    stream->expires_after(options_.connectTimeout);
    const runtime::IoResult result = runtime::awaitIo(
        [&](auto handler) { stream->async_connect(endpoint_, std::move(handler)); });
    if (result.error) {
        disconnectReason_ = result.error.message();
        fire(PeerLinkChartEvent::ConnectFailed);
        return;
    }
    ++statistics_.connections;
    ++ioFibers_;
    connection_ = std::make_unique<SessionSocket<LinkInput>>(
        std::move(stream), Http2Role::Client, options_.http2, mailbox_, ++connectionNumber_,
        options_.writeTimeout);
    runtime::logEvent(runtime::LogEvent::PeerConnected,
                      peer_.instance.value + " at " + peer_.address);
    fire(PeerLinkChartEvent::Connected);
}

void LinkTask::closeConnection()
{
    if (!connection_)
        return;
    handleSessionEvents(connection_->session().failAll("peer " + peer_.instance.value + " at "
                                                       + peer_.address + ": " + disconnectReason_));
    connection_->close();
    statistics_.bytesWritten += connection_->bytesWritten();
    connection_.reset();
    if (lifecycle_.state() != LinkState::Closed) {
        runtime::logEvent(runtime::LogEvent::PeerLost,
                          peer_.instance.value + " at " + peer_.address + ": " + disconnectReason_);
    }
}

void LinkTask::sendPending()
{
    while (!pending_.empty()) {
        const std::unique_ptr<OutgoingMessage> message = std::move(pending_.front());
        pending_.pop_front();
        sendMessage(*message);
    }
}

void LinkTask::sendMessage(OutgoingMessage &message)
{
    const auto failMessage = [&](core::Error error) {
        ++statistics_.failures;
        if (message.slot)
            (void)message.slot->outcome.trySend(std::move(error));
    };
    const core::TimePoint now = currentTime();
    if (message.deadline <= now) {
        failMessage(core::makeNotRunError(core::ErrorCode::DeadlineExceeded,
                                          "peer message reached its deadline before it was sent"));
        return;
    }
    if (connection_->session().openStreams() >= options_.http2.maxConcurrentStreams) {
        failMessage(core::makeNotRunError(core::ErrorCode::QueueFull,
                                          "too many messages to peer " + peer_.instance.value
                                              + " wait for an answer",
                                          kRetryAfterQueueFull));
        return;
    }
    SignedMessage signedMessage =
        authenticator_->signRequest(peer_.instance, counter_++, std::move(message.body));
    const auto stream = connection_->session().submitRequest(std::move(signedMessage.bytes));
    if (!core::isOk(stream)) {
        failMessage(core::errorOf(stream));
        return;
    }
    ++statistics_.messages;
    if (message.slot)
        message.slot->verdict = core::Verdict::MayHaveRun;
    if (calls_.empty())
        waitingSince_ = now;
    const std::int32_t id = core::valueOf(stream);
    calls_.emplace(id, Call {signedMessage.tag, message.deadline, std::move(message.slot)});
    deadlines_.emplace(message.deadline, id);
}

void LinkTask::failPending()
{
    const auto retryAfter = lifecycle_.retryAfter(currentTime());
    for (const auto &message : pending_) {
        ++statistics_.failures;
        if (message->slot) {
            (void)message->slot->outcome.trySend(core::makeNotRunError(
                core::ErrorCode::ConnectionFailed,
                "peer " + peer_.instance.value + " at " + peer_.address + ": " + disconnectReason_,
                retryAfter));
        }
    }
    pending_.clear();
}

void LinkTask::expireCalls(core::TimePoint now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const std::int32_t stream = deadlines_.begin()->second;
        connection_->session().cancel(stream);
        finishCall(stream,
                   makeMayHaveRunError(core::ErrorCode::DeadlineExceeded,
                                       "peer " + peer_.instance.value + " did not answer in time"));
    }
}

void LinkTask::flush()
{
    if (!connection_)
        return;
    const bool wasWriting = connection_->isWriting();
    const std::string reason = connection_->flush();
    if (!wasWriting && connection_->isWriting())
        ++ioFibers_;
    handleSessionEvents(connection_->session().takeEvents());
    if (!reason.empty())
        handleConnectionLoss(reason);
    else if (connection_->session().isFinished())
        handleConnectionLoss("peer ended the connection");
}

void LinkTask::handleConnectionLoss(const std::string &reason)
{
    disconnectReason_ = reason;
    fire(PeerLinkChartEvent::Lost);
}

void LinkTask::awaitIoFibers()
{
    disconnectReason_ = "link is stopped";
    while (ioFibers_ > 0) {
        if (auto input = mailbox_->receive())
            handleInput(*input);
    }
    mailbox_->close();
    while (auto input = mailbox_->tryReceive())
        handleInput(*input);
}

void LinkTask::finishCall(std::int32_t stream, core::Result<Envelope> outcome)
{
    const auto call = calls_.find(stream);
    if (call == calls_.end())
        return;
    if (!core::isOk(outcome))
        ++statistics_.failures;
    if (call->second.slot)
        (void)call->second.slot->outcome.trySend(std::move(outcome));
    deadlines_.erase({call->second.deadline, stream});
    calls_.erase(call);
    if (calls_.empty())
        waitingSince_.reset();
}

core::Result<Envelope> LinkTask::verifyAnswer(const Call &call, const Http2Message &message) const
{
    // Only the body of a reply is authenticated, so a status alone must not yield Verdict::NotRun.
    if (message.status == kStatusRejected)
        return makeMayHaveRunError(core::ErrorCode::Unauthenticated, "peer rejected the message");
    if (message.status == kStatusNoAnswer)
        return makeMayHaveRunError(core::ErrorCode::NotFound, "peer gave no answer to the message");
    if (message.status != kStatusAnswer) {
        return makeMayHaveRunError(core::ErrorCode::ProtocolViolation,
                                   "peer answered with status " + std::to_string(message.status));
    }
    auto answer = authenticator_->verifyReply(message.body, call.tag);
    if (!core::isOk(answer))
        return makeMayHaveRunError(core::errorOf(answer).code, core::errorOf(answer).message);
    Envelope envelope = core::takeValue(std::move(answer));
    if (!peer_.instance.value.empty() && envelope.sender != peer_.instance) {
        return makeMayHaveRunError(core::ErrorCode::Unauthenticated,
                                   "answer comes from \"" + envelope.sender.value
                                       + "\", not from \"" + peer_.instance.value + "\"");
    }
    if (const auto *error = std::get_if<core::Error>(&envelope.body))
        return *error;
    return envelope;
}

} // namespace boragerack::peer
