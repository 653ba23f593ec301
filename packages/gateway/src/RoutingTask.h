#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include <boost/fiber/fiber.hpp>

#include "FleetView.h"
#include "RoutingMessages.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/RandomSource.h"
#include "boragerack/decisions/RequestQueue.h"
#include "boragerack/decisions/serving/NodeTokenLimiter.h"
#include "boragerack/decisions/serving/RequestRouter.h"
#include "boragerack/decisions/serving/RetryBudget.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/Metrics.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::gateway {

/// Gives targets and tokens to this node's requests, and exchanges reports and answers with the
/// coordinator. Owns the counts of requests in flight.
class RoutingTask
{
public:
    /// Sends a report; the answer comes back as ReportAnswered.
    using SendReport = std::function<void(decisions::CoordinationReport)>;
    /// Gets what the coordinator read of the platform. `targets` is empty if they are unchanged.
    struct Relay
    {
        std::uint64_t configurationVersion = 0;
        core::TimePoint configurationProvenAt = {};
        /// Empty if this node has it.
        std::string configuration;
        core::TimePoint targetsReadAt = {};
        std::optional<std::vector<decisions::TargetEntry>> targets;
    };
    using OnRelay = std::function<void(Relay)>;

    /// What one node may have in flight, and how it shares the rest of its time.
    struct Limits
    {
        decisions::RetryLimits retries;
        /// Requests that have, or wait for, a target.
        std::size_t activeRequests = 0;
        /// Requests that wait because that many are active.
        decisions::QueueLimits waiting;
    };

    RoutingTask(const decisions::FleetMember &self, const Limits &limits, const core::Clock &clock,
                core::RandomSource &random, runtime::Metrics &metrics);
    ~RoutingTask();

    void start(SendReport sendReport, OnRelay onRelay);
    void stop();
    /// False if the mailbox is full.
    [[nodiscard]] bool trySend(RoutingMessage message);

    const runtime::Published<FleetView> &fleet() const { return fleet_; }

private:
    struct Grant
    {
        core::TargetId target;
        core::ServiceId service;
        std::optional<decisions::Artifact> artifact;
    };

    void run();
    void on(RouteRequest &message);
    void on(RouteRequestEnded &message);
    void on(TokensReturned &message);
    void on(RetryRequest &message);
    void on(RequestCrashReported &message);
    void on(TargetListChanged &message);
    void on(ConfigurationChanged &message);
    void on(ReportAnswered &message);
    void on(StopAnnounced &message);
    void on(StopRouting &message);

    void route(const decisions::routing::Event &event);
    void enqueue(const RouteRequest &ask);
    void queue(const decisions::QueueEvent &event);
    void perform(const decisions::ServeRequest &action);
    void perform(const decisions::RefuseRequest &action);
    void leaveQueue(std::uint64_t request);
    void passOn(const RouteRequest &ask);
    void serveTokenQueue(bool refuseRest);
    void noteTokenQueue();
    void adopt(const ReportAnswered &message, const decisions::CoordinationAnswer &answer);
    void relay(const ReportAnswered &message, const decisions::CoordinationAnswer &answer);
    void loseCoordinator();
    void setNodes(std::size_t nodes);
    decisions::RetryBudget &retriesTo(const core::ServiceId &service);
    void tick();
    void report();
    core::Duration reportPause() const;
    std::uint32_t nodeCount() const;

    decisions::FleetMember self_;
    decisions::RetryLimits retryLimits_;
    const core::Clock &clock_;
    core::TimePoint startedAt_;
    runtime::Metrics &metrics_;
    decisions::RequestRouter router_;
    decisions::NodeTokenLimiter wallet_;
    decisions::RequestQueue fairQueue_;
    /// Most nodes that a coordinator or its lease has named; zero before. Nodes that are out of
    /// touch go on spending, so limits are divided by this number even if fewer are left.
    std::uint32_t mostNodes_ = 0;
    std::map<core::ServiceId, decisions::RetryBudget> retries_;
    SendReport sendReport_;
    OnRelay onRelay_;
    runtime::Mailbox<RoutingMessage> mailbox_;
    runtime::Published<FleetView> fleet_;
    std::map<std::uint64_t, RouteRequest> asks_;
    std::map<std::uint64_t, Grant> grants_;
    /// Requests that count as active until their first attempt ends.
    std::set<std::uint64_t> active_;
    /// Requests that wait for tokens, by time of arrival.
    std::vector<std::uint64_t> tokenQueue_;
    /// How many of them the report under way speaks for.
    std::size_t reportedTokenQueue_ = 0;
    std::vector<decisions::RequestCrash> deaths_;
    std::uint64_t term_ = 0;
    std::uint64_t membersVersion_ = 0;
    std::uint64_t placementVersion_ = 0;
    std::uint64_t targetsVersion_ = 0;
    bool isReporting_ = false;
    bool hasUrgentNews_ = false;
    bool isStopping_ = false;
    bool isRunning_ = true;
    core::TimePoint lastReport_ = {};
    core::TimePoint nextReport_ = {};
    core::TimePoint lastAnswer_ = {};
    /// When the loads of the targets were last asked for. The list is long, so that reports that
    /// are sent early because of news often leave it out.
    core::TimePoint loadsAt_ = {};
    std::chrono::milliseconds loadsEvery_ = {};
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
