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

/// Carries reports to the coordinator, on this node or another one, and its answers back.
class ReportTask
{
public:
    ReportTask(LeaseTask &lease, CoordinatorTask &coordinator, RoutingTask &routing,
               const ConfigurationTask &configuration, const core::Clock &clock);
    ~ReportTask();

    /// The links to other nodes exist once the fleet's secret has been read.
    void setNetwork(peer::PeerNetwork *network) { network_ = network; }
    void start();
    void stop() { mailbox_.close(); }
    /// Stops and waits until the task has ended.
    void shutDown();
    void send(decisions::CoordinationReport report);

private:
    void run();
    void spreadFirstReport(const decisions::LeaseRecord &holder, const core::InstanceId &self);
    void countNodes();
    void noteHolder(const decisions::CoordinationAnswer &answer);
    std::optional<decisions::CoordinationAnswer> ask(const decisions::CoordinationReport &report);
    std::optional<decisions::CoordinationAnswer>
    askPeer(const core::InstanceId &instance, const std::string &address,
            const decisions::CoordinationReport &report, std::chrono::milliseconds timeout);
    /// The next node that is neither this one nor the holder of the lease.
    std::optional<decisions::FleetMember> nextMember(const core::InstanceId &self);
    /// Asks one other node, in turn, who coordinates. Only a node without the platform does that;
    /// the others see there who holds the lease.
    std::optional<decisions::CoordinationAnswer>
    askAround(const decisions::CoordinationReport &report);
    std::optional<decisions::CoordinationAnswer>
    askHere(const decisions::CoordinationReport &report);

    LeaseTask &lease_;
    CoordinatorTask &coordinator_;
    RoutingTask &routing_;
    const ConfigurationTask &configuration_;
    const core::Clock &clock_;
    peer::PeerNetwork *network_ = nullptr;
    std::size_t nextAsked_ = 0;
    /// Incarnation of the coordinator that got the last report.
    std::uint64_t lastHolder_ = 0;
    runtime::Mailbox<decisions::CoordinationReport> mailbox_;
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
