#include "PeerMessenger.h"

#include <algorithm>
#include <utility>

#include "FleetTask.h"
#include "boragerack/core/RendezvousHash.h"

namespace boragerack::node {

namespace {

constexpr std::chrono::milliseconds kMembersTimeout(1000);
/// Time for which the address of a former member is kept: a stopping node is removed from the
/// members first, but grants tokens until its requests are finished.
constexpr std::chrono::minutes kDepartedRetention(2);

} // namespace

PeerMessenger::PeerMessenger(const NodeIdentity &identity, peer::PeerNetwork &network,
                             std::vector<std::string> bootstrapAddresses, const core::Clock &clock)
    : identity_(identity)
    , network_(network)
    , bootstrapAddresses_(std::move(bootstrapAddresses))
    , clock_(clock)
{
}

PeerMessenger::~PeerMessenger() = default;

void PeerMessenger::setReceivers(FleetTask &fleet, QuarantineTask &quarantine)
{
    fleet_ = &fleet;
    quarantine_ = &quarantine;
}

void PeerMessenger::send(const core::InstanceId &receiver, const decisions::FleetMessage &message)
{
    // The protocol tolerates lost messages through heartbeats and retries.
    std::visit([&](const auto &body) { static_cast<void>(network_.send(receiver, body)); },
               message);
}

void PeerMessenger::queryBootstrapPeers(const decisions::MemberFetch &fetch)
{
    for (const std::string &address : bootstrapAddresses_)
        fibers_.start([this, address, fetch] { fetchMembers(address, fetch); });
}

void PeerMessenger::fetchMembers(const std::string &address, const decisions::MemberFetch &fetch)
{
    const auto answer = network_.callAddress(address, fetch, clock_.now() + kMembersTimeout);
    if (!core::isOk(answer))
        return;
    const peer::Envelope &envelope = core::valueOf(answer);
    if (const auto *table = std::get_if<decisions::MemberTable>(&envelope.body))
        static_cast<void>(fleet_->trySend(decisions::FleetAgent::Event(
            decisions::FleetAgent::MessageReceived {envelope.sender, *table})));
}

void PeerMessenger::updateMembers(const std::vector<decisions::MemberRecord> &members)
{
    std::vector<core::InstanceId> current;
    for (const decisions::MemberRecord &member : members) {
        current.push_back(member.instance);
        if (member.instance != identity_.instance)
            network_.updatePeer(member.instance, member.peerAddress);
    }
    for (const core::InstanceId &known : members_) {
        if (std::find(current.begin(), current.end(), known) == current.end())
            departed_[known] = clock_.now();
    }
    for (const core::InstanceId &member : current)
        departed_.erase(member);
    std::erase_if(departed_, [this](const auto &entry) {
        if (clock_.now() - entry.second < kDepartedRetention)
            return false;
        network_.removePeer(entry.first);
        return true;
    });
    const core::InstanceId previous = quarantineOwner();
    members_ = std::move(current);
    if (quarantine_ && quarantineOwner() != previous)
        static_cast<void>(quarantine_->trySend(QuarantineOwnerChanged()));
}

void PeerMessenger::sendBudgetRequest(const core::InstanceId &holder,
                                      const decisions::BudgetRequest &ask)
{
    static_cast<void>(network_.send(holder, ask));
}

void PeerMessenger::sendGrant(const core::InstanceId &borrower, const decisions::BudgetGrant &grant)
{
    static_cast<void>(network_.send(borrower, grant));
}

void PeerMessenger::sendReturn(const core::InstanceId &holder,
                               const decisions::BudgetReturn &message)
{
    static_cast<void>(network_.send(holder, message));
}

core::Result<core::TargetId>
PeerMessenger::requestColdStart(const core::InstanceId &planner,
                                const decisions::ColdStartRequested &request)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - clock_.now());
    const auto answer = network_.call(
        planner, peer::ColdStartRequest {request.request, request.artifact, remaining},
        request.deadline);
    if (!core::isOk(answer)) {
        core::Error error = core::errorOf(answer);
        // A cold start request never executes a caller's request, even if its own outcome is
        // unknown.
        error.verdict = core::Verdict::NotRun;
        if (error.code != core::ErrorCode::DeadlineExceeded)
            error.code = core::ErrorCode::ConnectionFailed;
        return error;
    }
    const auto *reply = std::get_if<peer::ColdStartReply>(&core::valueOf(answer).body);
    if (!reply) {
        return core::makeNotRunError(core::ErrorCode::ConnectionFailed,
                                     "planner sent another answer than a wake reply");
    }
    return reply->outcome;
}

void PeerMessenger::reportInFlight(const core::InstanceId &planner,
                                   const std::vector<decisions::ReplicaUsed> &uses)
{
    peer::ReplicaInFlightReport message;
    for (const decisions::ReplicaUsed &use : uses)
        message.uses.push_back({use.artifact, use.target, use.inFlight});
    static_cast<void>(network_.send(planner, std::move(message)));
}

core::InstanceId PeerMessenger::quarantineOwner() const
{
    const auto owners = core::rendezvousOwners("quarantine", members_, 1);
    return owners.empty() ? identity_.instance : owners.front();
}

template<class Message>
void PeerMessenger::sendToQuarantineOwner(const Message &message)
{
    if (const core::InstanceId node = quarantineOwner(); node != identity_.instance)
        static_cast<void>(network_.send(node, message));
    else
        static_cast<void>(quarantine_->trySend(message));
}

void PeerMessenger::reportCrash(const decisions::quarantine::CrashReport &report)
{
    sendToQuarantineOwner(report);
}

void PeerMessenger::reportCompletion(const decisions::quarantine::Completed &report)
{
    sendToQuarantineOwner(report);
}

void PeerMessenger::reportRefusal(const decisions::quarantine::Notice &notice)
{
    sendToQuarantineOwner(notice);
}

void PeerMessenger::announce(const decisions::quarantine::Notice &notice)
{
    // Notices are rare, so they are sent to every node directly.
    for (const core::InstanceId &member : members_) {
        if (member != identity_.instance)
            static_cast<void>(network_.send(member, notice));
    }
}

} // namespace boragerack::node
