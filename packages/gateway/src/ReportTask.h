#pragma once

#include <memory>
#include <optional>

#include <boost/fiber/fiber.hpp>

#include "CoordinatorTask.h"
#include "LeaseTask.h"
#include "RoutingTask.h"
#include "boragerack/peer/PeerNetwork.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

/// Sends reports to the coordinator, on this node or another one, and forwards its answers to the
/// routing task.
class ReportTask
{
public:
    ReportTask(LeaseTask &lease, CoordinatorTask &coordinator, RoutingTask &routing,
               const ConfigurationTask &configuration, const core::Clock &clock);
    ~ReportTask();

    /// Connections to other nodes are available once the fleet secret has been read.
    void setNetwork(peer::PeerNetwork *network) { network_ = network; }
    void start();
    void stop() { mailbox_.close(); }
    /// Stops and waits until the task has ended.
    void shutDown();
    void send(decisions::CoordinationReport report);

private:
    void run();
    void delayFirstReport(const decisions::LeaseRecord &holder, const core::InstanceId &self);
    void updatePeakNodeCount();
    void forwardLeaseObservation(const decisions::CoordinationAnswer &answer);
    std::optional<decisions::CoordinationAnswer>
    reportToCoordinator(const decisions::CoordinationReport &report);
    std::optional<decisions::CoordinationAnswer>
    reportToPeer(const core::InstanceId &instance, const std::string &address,
                 const decisions::CoordinationReport &report, std::chrono::milliseconds timeout);
    /// The next node that is neither this one nor the holder of the lease.
    std::optional<decisions::FleetMember> nextMember(const core::InstanceId &self);
    /// Sends the report to one other node, in round-robin order, to learn who is the coordinator.
    /// Used only if the platform is unavailable; otherwise the lease there names the holder.
    std::optional<decisions::CoordinationAnswer>
    reportToOtherNode(const decisions::CoordinationReport &report);
    std::optional<decisions::CoordinationAnswer>
    reportLocally(const decisions::CoordinationReport &report);

    LeaseTask &lease_;
    CoordinatorTask &coordinator_;
    RoutingTask &routing_;
    const ConfigurationTask &configuration_;
    const core::Clock &clock_;
    peer::PeerNetwork *network_ = nullptr;
    std::size_t nextMemberIndex_ = 0;
    /// Incarnation of the coordinator to which the last report was sent.
    std::uint64_t lastHolderIncarnation_ = 0;
    runtime::Mailbox<decisions::CoordinationReport> mailbox_;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
