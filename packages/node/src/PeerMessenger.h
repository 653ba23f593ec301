#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "BudgetMessenger.h"
#include "FleetMessenger.h"
#include "NodeIdentity.h"
#include "PlannerClient.h"
#include "QuarantineTask.h"
#include "boragerack/core/Clock.h"
#include "boragerack/peer/PeerNetwork.h"
#include "boragerack/runtime/FiberGroup.h"

namespace boragerack::node {

class FleetTask;

/// Sends the messages of the tasks of this node to other nodes.
class PeerMessenger final : public FleetMessenger,
                            public BudgetMessenger,
                            public PlannerClient,
                            public QuarantineMessenger
{
public:
    PeerMessenger(const NodeIdentity &identity, peer::PeerNetwork &network,
                  std::vector<std::string> bootstrapAddresses, const core::Clock &clock);
    ~PeerMessenger() override;

    /// Sets the tasks that receive replies, and crash reports that this node owns.
    void setReceivers(FleetTask &fleet, QuarantineTask &quarantine);

    void send(const core::InstanceId &receiver, const decisions::FleetMessage &message) override;
    void queryBootstrapPeers(const decisions::MemberFetch &fetch) override;
    void updateMembers(const std::vector<decisions::MemberRecord> &members) override;

    void sendBudgetRequest(const core::InstanceId &holder,
                           const decisions::BudgetRequest &ask) override;
    void sendGrant(const core::InstanceId &borrower, const decisions::BudgetGrant &grant) override;
    void sendReturn(const core::InstanceId &holder,
                    const decisions::BudgetReturn &message) override;

    core::Result<core::TargetId>
    requestColdStart(const core::InstanceId &planner,
                     const decisions::ColdStartRequested &request) override;
    void reportInFlight(const core::InstanceId &planner,
                        const std::vector<decisions::ReplicaUsed> &uses) override;

    void reportCrash(const decisions::quarantine::CrashReport &report) override;
    void reportCompletion(const decisions::quarantine::Completed &report) override;
    void reportRefusal(const decisions::quarantine::Notice &notice) override;
    void announce(const decisions::quarantine::Notice &notice) override;

private:
    void fetchMembers(const std::string &address, const decisions::MemberFetch &fetch);
    /// The node that counts the crashes that all nodes report.
    core::InstanceId quarantineOwner() const;
    template<class Message>
    void sendToQuarantineOwner(const Message &message);

    NodeIdentity identity_;
    peer::PeerNetwork &network_;
    std::vector<std::string> bootstrapAddresses_;
    const core::Clock &clock_;
    FleetTask *fleet_ = nullptr;
    QuarantineTask *quarantine_ = nullptr;
    std::vector<core::InstanceId> members_;
    /// Former members whose addresses are still kept, with the time of their removal.
    std::map<core::InstanceId, core::TimePoint> departed_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
