#include "boragerack/peer/PeerLink.h"

#include <utility>

#include <boost/fiber/fiber.hpp>

#include "LinkTask.h"
#include "PeerChartBindings.h"
#include "boragerack/runtime/Address.h"
#include "boragerack/runtime/ExceptionBoundary.h"

namespace boragerack::peer {

namespace {

// Suggested delay before a retry after a full queue.
constexpr std::chrono::milliseconds kRetryAfterQueueFull {100};

} // namespace

/// Task, fiber and mailbox of a link; callers communicate with the task through the mailbox.
struct PeerLink::Implementation
{
    Implementation(boost::asio::io_context &ioContext, const PeerLinkIdentity &peer,
                   const boost::asio::ip::tcp::endpoint &endpoint,
                   std::shared_ptr<const MessageAuthenticator> authenticator,
                   const PeerLinkOptions &options, LinkLifecycle lifecycle)
        : peer_(peer)
        , sendTimeout_(options.sendTimeout)
        , mailbox_(std::make_shared<LinkMailbox>(options.mailboxCapacity))
        , task_(ioContext, peer, endpoint, std::move(authenticator), options, std::move(lifecycle),
                mailbox_)
        , fiber_([this] { runtime::runTask("peer link", [this] { task_.run(); }); })
    {
    }

    ~Implementation()
    {
        (void)mailbox_->send(StopLink {});
        fiber_.join();
    }

    core::Result<core::Nothing> post(MessageBody body, core::TimePoint deadline,
                                     std::shared_ptr<CallSlot> slot)
    {
        if (mailbox_->trySend(std::make_unique<OutgoingMessage>(
                OutgoingMessage {std::move(body), deadline, std::move(slot)})))
            return core::Nothing {};
        if (mailbox_->isClosed()) {
            return core::makeNotRunError(core::ErrorCode::ConnectionFailed,
                                         "link to peer " + peer_.instance.value + " is stopped");
        }
        return core::makeNotRunError(core::ErrorCode::QueueFull,
                                     "mailbox of the link to peer " + peer_.instance.value
                                         + " is full",
                                     kRetryAfterQueueFull);
    }

    PeerLinkIdentity peer_;
    std::chrono::milliseconds sendTimeout_;
    std::shared_ptr<LinkMailbox> mailbox_;
    LinkTask task_;
    boost::fibers::fiber fiber_;
};

core::Result<std::shared_ptr<PeerLink>>
PeerLink::make(boost::asio::io_context &ioContext, const PeerLinkIdentity &peer,
               std::shared_ptr<const MessageAuthenticator> authenticator,
               const PeerLinkOptions &options, const std::shared_ptr<const PeerCharts> &charts,
               core::RandomSource &random)
{
    const auto endpoint = runtime::parseEndpoint(peer.address);
    if (!endpoint) {
        return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                     "\"" + peer.address + "\" is not an address <ip>:<port>");
    }
    return std::shared_ptr<PeerLink>(new PeerLink(
        std::make_unique<Implementation>(ioContext, peer, *endpoint, std::move(authenticator),
                                         options, LinkLifecycle(charts->link, options, random))));
}

PeerLink::PeerLink(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

PeerLink::~PeerLink() = default;

core::Result<Envelope> PeerLink::call(MessageBody body, core::TimePoint deadline)
{
    if (deadline <= std::chrono::steady_clock::now()) {
        return core::makeNotRunError(core::ErrorCode::DeadlineExceeded,
                                     "deadline of a peer message has already passed");
    }
    const auto slot = std::make_shared<CallSlot>();
    if (const auto posted = implementation_->post(std::move(body), deadline, slot);
        !core::isOk(posted))
        return core::errorOf(posted);
    if (auto outcome = slot->outcome.receiveUntil(deadline))
        return std::move(*outcome);
    return core::Error {core::ErrorCode::DeadlineExceeded, slot->verdict,
                        "peer " + peer().instance.value + " did not answer in time",
                        std::chrono::milliseconds(0)};
}

core::Result<core::Nothing> PeerLink::send(MessageBody body)
{
    return implementation_->post(
        std::move(body), std::chrono::steady_clock::now() + implementation_->sendTimeout_, nullptr);
}

void PeerLink::stop()
{
    (void)implementation_->mailbox_->send(StopLink {});
}

bool PeerLink::isStopped() const
{
    return implementation_->mailbox_->isClosed();
}

const PeerLinkIdentity &PeerLink::peer() const
{
    return implementation_->peer_;
}

PeerLinkStatistics PeerLink::statistics() const
{
    return implementation_->task_.statistics();
}

} // namespace boragerack::peer
