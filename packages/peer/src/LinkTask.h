#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "LinkLifecycle.h"
#include "SessionSocket.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/PeerLink.h"

namespace boragerack::peer {

/// Receives the outcome of a call, for which the caller waits on its own fiber.
struct CallSlot
{
    runtime::Mailbox<core::Result<Envelope>> outcome {2};
    /// Set to MayHaveRun by the link before any byte of the message is written.
    core::Verdict verdict = core::Verdict::NotRun;
};

/// A message to send; the slot is null when no reply is expected.
struct OutgoingMessage
{
    MessageBody body;
    core::TimePoint deadline;
    std::shared_ptr<CallSlot> slot;
};

struct StopLink
{
};

using LinkInput =
    std::variant<StopLink, std::unique_ptr<OutgoingMessage>, ReceivedBytes, ReadEnded, WriteEnded>;
using LinkMailbox = runtime::Mailbox<LinkInput>;

/// The task of a PeerLink. It owns the socket, the session and all calls in progress.
class LinkTask
{
public:
    LinkTask(boost::asio::io_context &ioContext, PeerLinkIdentity peer,
             boost::asio::ip::tcp::endpoint endpoint,
             std::shared_ptr<const MessageAuthenticator> authenticator,
             const PeerLinkOptions &options, LinkLifecycle lifecycle,
             std::shared_ptr<LinkMailbox> mailbox);

    void run();

    PeerLinkStatistics statistics() const;

private:
    struct Call
    {
        core::Digest tag;
        core::TimePoint deadline;
        std::shared_ptr<CallSlot> slot;
    };

    std::optional<LinkInput> waitForInput();
    void handleInput(LinkInput &input);
    void handleReceivedBytes(const ReceivedBytes &received);
    void handleSessionEvents(const std::vector<Http2Event> &events);
    void fire(PeerLinkChartEvent event);
    void perform(const std::vector<PeerLinkChartAction> &actions);
    void openConnection();
    void closeConnection();
    void sendPending();
    void sendMessage(OutgoingMessage &message);
    void failPending();
    void expireCalls(core::TimePoint now);
    void flush();
    void handleConnectionLoss(const std::string &reason);
    void awaitIoFibers();
    void finishCall(std::int32_t stream, core::Result<Envelope> outcome);
    core::Result<Envelope> verifyAnswer(const Call &call, const Http2Message &message) const;

    boost::asio::io_context &ioContext_;
    PeerLinkIdentity peer_;
    boost::asio::ip::tcp::endpoint endpoint_;
    std::shared_ptr<const MessageAuthenticator> authenticator_;
    PeerLinkOptions options_;
    LinkLifecycle lifecycle_;
    std::shared_ptr<LinkMailbox> mailbox_;

    std::unique_ptr<SessionSocket<LinkInput>> connection_;
    std::uint64_t connectionNumber_ = 0;
    /// Number of reader and writer fibers, of all connections, that have not reported their end.
    std::size_t ioFibers_ = 0;
    std::uint64_t counter_;
    std::string disconnectReason_ = "not connected";
    std::deque<std::unique_ptr<OutgoingMessage>> pending_;
    std::unordered_map<std::int32_t, Call> calls_;
    std::set<std::pair<core::TimePoint, std::int32_t>> deadlines_;
    std::optional<core::TimePoint> waitingSince_;
    PeerLinkStatistics statistics_;
};

} // namespace boragerack::peer
