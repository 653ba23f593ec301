#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include <boost/fiber/fiber.hpp>

#include "CoordinatorMessages.h"
#include "FleetView.h"
#include "LeaseTask.h"
#include "boragerack/core/Clock.h"
#include "boragerack/decisions/Quarantine.h"
#include "boragerack/decisions/serving/DistributedTargets.h"
#include "boragerack/decisions/serving/FleetState.h"
#include "boragerack/decisions/serving/FleetTokenLimiter.h"
#include "boragerack/decisions/serving/MembershipTracker.h"
#include "boragerack/decisions/serving/ReportTree.h"
#include "boragerack/decisions/serving/SwapPlanner.h"
#include "boragerack/decisions/serving/TargetPermitIssuer.h"
#include "boragerack/gateway/TargetControl.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/Metrics.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::gateway {

/// Coordinates the fleet while this node holds the lease: it collects the demand of all nodes,
/// orders loads, grants tokens and tracks the live nodes. Its state can be rebuilt from the
/// platform and the reports, so a new coordinator needs no state from the previous one.
class CoordinatorTask
{
public:
    /// All references must outlive the task. `clock` must include time during which the
    /// machine is suspended.
    CoordinatorTask(const core::InstanceId &self, const LeaseTask &lease,
                    const ConfigurationTask &configuration, TargetControl &control,
                    std::shared_ptr<const decisions::TargetOrderBinding> chart,
                    std::int64_t quotaTolerance, const core::Clock &clock,
                    runtime::Metrics &metrics);
    ~CoordinatorTask();

    /// `fleet` is this node's view of the fleet, which initialises the members of a new term.
    void start(const runtime::Published<FleetView> &fleet);
    void stop();
    [[nodiscard]] bool trySend(CoordinatorMessage message);
    /// Waits for space in the mailbox. False if the task has ended.
    [[nodiscard]] bool send(CoordinatorMessage message);
    /// Whether this node is the coordinator at present.
    bool isCoordinating() const { return term_ != nullptr; }

private:
    /// State of one coordinator term.
    struct Term
    {
        std::uint64_t fence = 0;
        decisions::SwapPlanner planner;
        decisions::FleetTokenLimiter tokenLimiter;
        decisions::TargetPermitIssuer permitIssuer;
        decisions::MembershipTracker members;
        decisions::Quarantine quarantine;
        bool mayOrder = false;
        /// State that the answers distribute, and the versions of its sources.
        decisions::FleetState state;
        std::uint64_t membersVersion = 0;
        std::uint64_t placementVersion = 0;
        std::uint64_t ratesVersion = 0;
        core::TimePoint loadsAt = {};
        decisions::ReportTree tree;
    };

    void run();
    void on(ReportReceived &message);
    void on(OrderFinished &message);
    void on(TargetReported &message);
    void on(CoordinatorTargetsChanged &message);
    void on(CoordinatorConfigurationChanged &message);
    void on(StopCoordinating &message);

    void recordReport(const decisions::CoordinationReport &report);
    void logRefusals(const std::vector<decisions::Quarantine::Action> &actions) const;
    void recordRates(const std::vector<decisions::RateObservation> &rates);
    void grantTokens(const decisions::CoordinationReport &report,
                     decisions::CoordinationAnswer &answer);
    std::vector<decisions::PermitGrant>
    grantPermits(const std::vector<decisions::PermitRequest> &requests);
    void updateState();
    void updateTerm();
    std::vector<decisions::FleetMember> knownNodes() const;
    void applyConfiguration();
    void applyTargets();
    decisions::PlatformReadStatus makePlatformReadStatus() const;
    void plan(const decisions::swap::Event &event);
    void perform(const decisions::swap::SendOrder &action);
    void perform(const decisions::swap::RequestTargetReport &action);
    decisions::swap::OrderOutcome sendOrder(const decisions::swap::SendOrder &order,
                                            std::uint64_t fence);

    core::InstanceId self_;
    const LeaseTask &lease_;
    const ConfigurationTask &configuration_;
    TargetControl &control_;
    std::shared_ptr<const decisions::TargetOrderBinding> chart_;
    std::int64_t quotaTolerance_;
    const core::Clock &clock_;
    runtime::Metrics &metrics_;
    runtime::Mailbox<CoordinatorMessage> mailbox_;
    decisions::DistributedTargets targets_;
    RouteTablePointer table_;
    const runtime::Published<FleetView> *fleet_ = nullptr;
    /// When the lease and the members are next checked.
    core::TimePoint nextLeaseCheck_ = {};
    std::unique_ptr<Term> term_;
    bool isRunning_ = true;
    boost::fibers::fiber fiber_;
    runtime::FiberGroup calls_;
};

} // namespace boragerack::gateway
