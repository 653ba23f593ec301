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
#include "boragerack/decisions/serving/FleetTokenLimiter.h"
#include "boragerack/decisions/serving/MembershipTracker.h"
#include "boragerack/decisions/serving/SwapPlanner.h"
#include "boragerack/gateway/TargetControl.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/Metrics.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::gateway {

/// Does what one node does for the fleet while it holds the lease: it collects the demand of all
/// nodes, orders loads, grants tokens and keeps the roll of live nodes. All its state can be built
/// anew from the platform and the reports, so a successor starts empty.
class CoordinatorTask
{
public:
    /// All references must outlive the task. `clock` counts suspension.
    CoordinatorTask(const core::InstanceId &self, const LeaseTask &lease,
                    const ConfigurationTask &configuration, TargetControl &control,
                    std::shared_ptr<const decisions::TargetOrderBinding> chart,
                    std::int64_t quotaTolerance, const core::Clock &clock,
                    runtime::Metrics &metrics);
    ~CoordinatorTask();

    /// `fleet`: the nodes as this one knows them; a new term begins with them.
    void start(const runtime::Published<FleetView> &fleet);
    void stop();
    [[nodiscard]] bool trySend(CoordinatorMessage message);
    /// Whether changes of the targets concern this node more than others.
    bool isCoordinating() const { return term_ != nullptr; }

private:
    /// State of one term.
    struct Term
    {
        std::uint64_t fence = 0;
        decisions::SwapPlanner planner;
        decisions::FleetTokenLimiter allotment;
        decisions::MembershipTracker members;
        decisions::Quarantine quarantine;
        std::set<core::Digest> quarantined;
        bool mayOrder = false;
        /// Targets as last passed on to the nodes, and the number of their changes.
        std::vector<decisions::TargetEntry> listed;
        std::uint64_t listedVersion = 0;
    };

    void run();
    void on(ReportReceived &message);
    void on(OrderFinished &message);
    void on(TargetReported &message);
    void on(CoordinatorTargetsChanged &message);
    void on(CoordinatorConfigurationChanged &message);
    void on(StopCoordinating &message);

    void followLease();
    std::vector<decisions::FleetMember> knownNodes() const;
    void applyConfiguration();
    void applyTargets();
    decisions::PlatformReadStatus proof() const;
    void plan(const decisions::swap::Event &event);
    void perform(const decisions::swap::SendOrder &action);
    void perform(const decisions::swap::RequestTargetReport &action);
    decisions::swap::OrderOutcome give(const decisions::swap::SendOrder &order,
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
    /// Null until this node has read the list itself.
    TargetEntriesPointer entries_;
    /// When the platform answered with these entries.
    core::TimePoint targetsReadAt_ = {};
    RouteTablePointer table_;
    const runtime::Published<FleetView> *fleet_ = nullptr;
    /// When the lease and the members are looked at again.
    core::TimePoint nextLook_ = {};
    std::unique_ptr<Term> term_;
    bool isRunning_ = true;
    boost::fibers::fiber fiber_;
    runtime::FiberGroup calls_;
};

} // namespace boragerack::gateway
