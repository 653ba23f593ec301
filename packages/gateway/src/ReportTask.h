#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <boost/fiber/fiber.hpp>

#include "CoordinatorTask.h"
#include "LeaseTask.h"
#include "ReportMessages.h"
#include "RoutingTask.h"
#include "boragerack/decisions/serving/FleetState.h"
#include "boragerack/decisions/serving/ReportAggregator.h"
#include "boragerack/peer/PeerNetwork.h"
#include "boragerack/runtime/Mailbox.h"

namespace boragerack::gateway {

/// Sends this node's reports to the coordinator, directly or through a relay, and forwards the
/// answers to the routing task. As a relay, it adds the reports of other nodes to its own and
/// answers them from its copy of the fleet's state.
class ReportTask
{
public:
    ReportTask(decisions::FleetMember self, LeaseTask &lease, CoordinatorTask &coordinator,
               RoutingTask &routing, const ConfigurationTask &configuration,
               const core::Clock &clock);
    ~ReportTask();

    /// Connections to other nodes are available once the fleet secret has been read.
    void setNetwork(peer::PeerNetwork *network) { network_ = network; }
    void start();
    void stop() { mailbox_.close(); }
    /// Stops and waits until the task has ended.
    void shutDown();
    /// False if the mailbox is full.
    [[nodiscard]] bool trySend(ReportMessage message)
    {
        return mailbox_.trySend(std::move(message));
    }

private:
    using Answer = std::optional<decisions::CoordinationAnswer>;
    using PeerAnswer = core::Result<decisions::CoordinationAnswer>;

    void run();
    void on(OwnReport &message);
    void on(ReportReceived &message);
    void collect();
    void exchange();
    decisions::CoordinationReport takeReport();
    Answer sendReport(const decisions::CoordinationReport &report, bool isLocal);
    Answer reportToCoordinator(const decisions::CoordinationReport &report);
    Answer reportToRelay(const decisions::CoordinationReport &report);
    Answer reportLocally(const decisions::CoordinationReport &report);
    PeerAnswer reportToPeer(const core::InstanceId &instance, const std::string &address,
                            const decisions::CoordinationReport &report,
                            std::chrono::milliseconds timeout);
    /// Sends the report to one other node, in round-robin order, to learn who is the coordinator.
    /// Used only if the platform is unavailable; otherwise the lease there names the holder.
    Answer reportToOtherNode(const decisions::CoordinationReport &report);
    /// The next node that is neither this one nor the holder of the lease.
    std::optional<decisions::FleetMember> nextMember();
    void delayFirstReport(const decisions::LeaseRecord &holder);

    void apply(decisions::CoordinationAnswer &answer, bool isLocal);
    /// Removes from the answer a change that does not fit this node's copy of the state.
    void applyState(decisions::CoordinationAnswer &answer);
    void setRelay(const std::optional<decisions::FleetMember> &relay);
    void forwardLeaseObservation(const decisions::CoordinationAnswer &answer);
    void updateNodeCount();
    void answerOwnReport(const Answer &answer, bool isLocal, bool hadUses);
    void answerChildren(const Answer &answer);
    decisions::CoordinationAnswer makeChildAnswer(const decisions::CoordinationReport &report,
                                                  const Answer &answer) const;

    struct SentOwnReport
    {
        decisions::FleetVersions known;
        core::TimePoint at = {};
    };

    decisions::FleetMember self_;
    LeaseTask &lease_;
    CoordinatorTask &coordinator_;
    RoutingTask &routing_;
    const ConfigurationTask &configuration_;
    const core::Clock &clock_;
    peer::PeerNetwork *network_ = nullptr;
    runtime::Mailbox<ReportMessage> mailbox_;
    decisions::ReportAggregator aggregator_;
    /// Copy of the state that the coordinator distributes.
    decisions::FleetState state_;
    /// Node through which this one reports; empty if it reports directly.
    std::optional<decisions::FleetMember> relay_;
    core::InstanceId unresponsiveRelay_;
    /// The routing task's report that has not been answered.
    std::optional<SentOwnReport> ownReport_;
    /// Reports of other nodes that have not been answered.
    std::map<core::InstanceId, ReportReceived> childReports_;
    /// Incarnation of the coordinator to which the last report was sent.
    std::uint64_t lastHolderIncarnation_ = 0;
    std::size_t nextMemberIndex_ = 0;
    core::TimePoint otherNodeAskedAt_ = {};
    core::TimePoint sentAt_ = {};
    /// When the requests in flight were last reported.
    core::TimePoint usesSentAt_ = {};
    std::chrono::milliseconds reportInterval_ = {};
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
