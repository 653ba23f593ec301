#include "PeerDispatcher.h"

#include <type_traits>
#include <utility>

#include "boragerack/peer/Envelope.h"

namespace boragerack::node {

namespace {

template<class Message>
constexpr bool kIsFleetMessage = std::is_constructible_v<decisions::FleetMessage, Message>;

template<class Message>
constexpr bool kIsBudgetMessage =
    std::is_same_v<
        Message,
        decisions::
            BudgetRequest> || std::is_same_v<Message, decisions::BudgetGrant> || std::is_same_v<Message, decisions::BudgetReturn>;

template<class Message>
constexpr bool kIsQuarantineMessage =
    std::is_constructible_v<decisions::Quarantine::Event, Message>;

constexpr std::chrono::milliseconds kMembersTimeout(500);

core::Error makeFullError()
{
    return core::makeNotRunError(core::ErrorCode::QueueFull, "mailbox of the task is full",
                                 std::chrono::seconds(1));
}

} // namespace

PeerDispatcher::PeerDispatcher(const PeerReceivers &receivers, const core::Clock &clock)
    : receivers_(receivers)
    , clock_(clock)
{
}

PeerDispatcher::~PeerDispatcher() = default;

void PeerDispatcher::handle(const peer::Envelope &request, peer::PeerResponder reply)
{
    std::visit([&](const auto &message) { dispatch(request, message, std::move(reply)); },
               request.body);
}

template<class Message>
void PeerDispatcher::dispatch(const peer::Envelope &request, const Message &message,
                              peer::PeerResponder reply)
{
    bool isAccepted = false;
    if constexpr (kIsFleetMessage<Message>) {
        isAccepted = receivers_.fleet.trySend(decisions::FleetAgent::Event(
            decisions::FleetAgent::MessageReceived {request.sender, message}));
    } else if constexpr (kIsBudgetMessage<Message>) {
        isAccepted = receivers_.budget.trySend(message);
    } else if constexpr (kIsQuarantineMessage<Message>) {
        isAccepted = receivers_.quarantine.trySend(message);
    } else {
        reply.sendError(core::makeNotRunError(core::ErrorCode::ProtocolViolation,
                                              "message is not expected here"));
        return;
    }
    if (!isAccepted)
        reply.sendError(makeFullError());
}

void PeerDispatcher::dispatch(const peer::Envelope &request, const decisions::MemberFetch &message,
                              peer::PeerResponder reply)
{
    const MemberTableRequested asked {request.sender, message, {}};
    if (!receivers_.fleet.trySend(asked)) {
        reply.sendError(makeFullError());
        return;
    }
    fibers_.start([this, asked, reply = std::move(reply)]() mutable {
        if (const auto table = asked.reply.waitUntil(clock_.now() + kMembersTimeout))
            reply.sendReply(*table);
    });
}

void PeerDispatcher::dispatch(const peer::Envelope &request, const peer::ColdStartRequest &message,
                              peer::PeerResponder reply)
{
    const core::TimePoint deadline = clock_.now() + message.deadline;
    const RemoteColdStartRequest coldStart {
        request.sender, message.request, message.artifact, deadline, {}};
    if (!receivers_.placement.trySend(coldStart)) {
        reply.sendError(makeFullError());
        return;
    }
    fibers_.start([coldStart, request = message, reply = std::move(reply)]() mutable {
        const auto outcome = coldStart.reply.waitUntil(coldStart.deadline);
        if (!outcome) {
            reply.sendError(core::makeNotRunError(core::ErrorCode::DeadlineExceeded,
                                                  "no replica was ready before the deadline",
                                                  std::chrono::seconds(1)));
        } else if (!core::isOk(*outcome)
                   && core::errorOf(*outcome).code == core::ErrorCode::ConnectionFailed) {
            reply.sendError(core::errorOf(*outcome));
        } else {
            reply.sendReply(peer::ColdStartReply {request.request, request.artifact, *outcome});
        }
    });
}

void PeerDispatcher::dispatch(const peer::Envelope &request,
                              const peer::ReplicaInFlightReport &message, peer::PeerResponder reply)
{
    for (const peer::ReplicaInFlight &use : message.uses) {
        if (!receivers_.placement.trySend(
                decisions::ReplicaUsed {request.sender, use.artifact, use.target, use.inFlight})) {
            reply.sendError(makeFullError());
            return;
        }
    }
}

} // namespace boragerack::node
