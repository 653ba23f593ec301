#pragma once

#include "BudgetTask.h"
#include "FleetTask.h"
#include "PlacementTask.h"
#include "QuarantineTask.h"
#include "boragerack/peer/PeerHandler.h"
#include "boragerack/peer/PeerResponder.h"

namespace boragerack::node {

/// The tasks that receive messages from other nodes.
struct PeerReceivers
{
    FleetTask &fleet;
    BudgetTask &budget;
    PlacementTask &placement;
    QuarantineTask &quarantine;
};

/// Dispatches messages from other nodes to their tasks. If the mailbox of a task is full, the
/// message is rejected, and the sender repeats it if it is still relevant.
class PeerDispatcher final : public peer::PeerHandler
{
public:
    PeerDispatcher(const PeerReceivers &receivers, const core::Clock &clock);
    ~PeerDispatcher() override;

    void handle(const peer::Envelope &request, peer::PeerResponder reply) override;

private:
    template<class Message>
    void dispatch(const peer::Envelope &request, const Message &message, peer::PeerResponder reply);
    void dispatch(const peer::Envelope &request, const decisions::MemberFetch &message,
                  peer::PeerResponder reply);
    void dispatch(const peer::Envelope &request, const peer::ColdStartRequest &message,
                  peer::PeerResponder reply);
    void dispatch(const peer::Envelope &request, const peer::ReplicaInFlightReport &message,
                  peer::PeerResponder reply);

    PeerReceivers receivers_;
    const core::Clock &clock_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
