#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include <boost/fiber/fiber.hpp>

#include "FleetView.h"
#include "RoutingMessages.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/RandomSource.h"
#include "boragerack/decisions/CrashReporter.h"
#include "boragerack/decisions/RequestQueue.h"
#include "boragerack/decisions/serving/FleetFollower.h"
#include "boragerack/decisions/serving/NodeTokenLimiter.h"
#include "boragerack/decisions/serving/RequestRouter.h"
#include "boragerack/decisions/serving/RetryBudget.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/Metrics.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::gateway {

/// Assigns targets and tokens to this node's requests, and exchanges reports and answers with the
/// coordinator. Owns the counts of requests in flight.
class RoutingTask
{
public:
    /// Sends a report; the answer is delivered as ReportAnswered. False if it cannot be sent; no
    /// answer follows.
    using SendReport = std::function<bool(decisions::CoordinationReport)>;
    /// What the coordinator has read from the platform.
    struct Relay
    {
        std::uint64_t configurationVersion = 0;
        core::TimePoint configurationProvenAt = {};
        /// Empty if this node already has it.
        std::string configuration;
        /// Empty if the answer holds no state of the fleet.
        std::optional<decisions::targets::Relayed> targets;
    };
    /// False if the target list was not accepted; it is then requested again.
    using OnRelay = std::function<bool(Relay)>;

    /// Limits of one node for retries, active requests and waiting requests.
    struct Limits
    {
        decisions::RetryLimits retries;
        /// Maximum number of requests that have a target or wait for one.
        std::size_t activeRequests = 0;
        /// Limits of the queue of requests beyond `activeRequests`.
        decisions::QueueLimits waiting;
    };

    RoutingTask(const decisions::FleetMember &self, const Limits &limits, const core::Clock &clock,
                core::RandomSource &random, runtime::Metrics &metrics);
    ~RoutingTask();

    void start(SendReport sendReport, OnRelay onRelay);
    void stop();
    /// False if the mailbox is full.
    [[nodiscard]] bool trySend(RoutingMessage message);
    /// Waits for space in the mailbox. False if the task has ended.
    [[nodiscard]] bool send(RoutingMessage message);

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
    void on(TargetAdviceReceived &message);
    void on(RequestFinished &message);
    void on(SendPermissionRequest &message);
    void on(RequestCrashReported &message);
    void on(TargetListChanged &message);
    void on(ConfigurationChanged &message);
    void on(ReportAnswered &message);
    void on(StopAnnounced &message);
    void on(StopRouting &message);

    void route(const decisions::routing::Event &event);
    void enqueue(const RouteRequest &pendingRequest);
    /// Handles the event at once, or after the one that is being handled.
    void queue(const decisions::QueueEvent &event);
    void perform(const decisions::ServeRequest &action);
    void perform(const decisions::RefuseRequest &action);
    void releaseQueueSlot(std::uint64_t request);
    void requestTarget(const RouteRequest &pendingRequest);
    /// Refuses the request if no target accepts it before its deadline.
    bool refuseIfHopeless(const RouteRequest &pendingRequest);
    /// Refuses the requests that wait for targets of evacuated data centres only.
    void refuseEvacuated();
    /// Refuses the requests that cannot begin before their deadlines.
    void refuseUnservable();
    /// False if the balance of the organisation is too low.
    bool takeTokens(const RouteRequest &pendingRequest);
    void serveTokenQueue(bool refuseReported);
    void updateWaitingTokens();
    void adopt(const ReportAnswered &message, const decisions::CoordinationAnswer &answer);
    /// Passes on what the coordinator has read, with the targets if there are any. False if these
    /// were not accepted.
    bool relay(const ReportAnswered &message, const decisions::CoordinationAnswer &answer,
               std::optional<decisions::targets::Relayed> targets);
    void handleCrashesAccepted(std::uint64_t term);
    void adoptRefusals(const decisions::CoordinationAnswer &answer, std::uint64_t term);
    void reportCrashes(decisions::CoordinationReport &report);
    void applyUpdate(const decisions::FleetUpdate &update, bool areTargetsAdopted);
    /// Handles an update that is relative to versions that are not known any more.
    void requestCompleteUpdate(const decisions::FleetUpdate &update);
    void handleCoordinatorTimeout();
    void setNodes(std::size_t nodes);
    decisions::RetryBudget &retryBudgetFor(const core::ServiceId &service);
    bool reserveRetry(const RouteRequest &pendingRequest);
    /// True if the request is no retry, or its reserved retry may be sent now.
    bool commitRetry(std::uint64_t request);
    void releaseRetry(std::uint64_t request);
    void countRetry(const core::ServiceId &service, bool isAllowed);
    /// Counts tokens of an organisation with a limit.
    void countTokens(std::string_view kind, const core::OrganisationId &organisation,
                     std::int64_t tokens);
    void countLongPrompt(const decisions::routing::Granted &granted);
    void updateLongPromptTargets();
    void tick();
    void report();
    std::uint32_t nodeCount() const;
    /// Position of this node among the members that the last coordinator confirmed.
    std::uint32_t rank() const;

    decisions::FleetMember self_;
    decisions::RetryLimits retryLimits_;
    const core::Clock &clock_;
    core::TimePoint startedAt_;
    runtime::Metrics &metrics_;
    decisions::RequestRouter router_;
    decisions::NodeTokenLimiter tokenLimiter_;
    decisions::RequestQueue fairQueue_;
    std::deque<decisions::QueueEvent> queueEvents_;
    bool isHandlingQueue_ = false;
    /// Largest number of nodes that a coordinator or its lease has reported; zero before.
    /// Unreachable nodes continue to use tokens, so limits are divided by this number even if fewer
    /// are live.
    std::uint32_t peakNodes_ = 0;
    std::map<core::ServiceId, decisions::RetryBudget> retries_;
    /// Requests whose next send is a retry that has been reserved.
    std::map<std::uint64_t, core::ServiceId> reservedRetries_;
    SendReport sendReport_;
    OnRelay onRelay_;
    runtime::Mailbox<RoutingMessage> mailbox_;
    runtime::Published<FleetView> fleet_;
    std::map<std::uint64_t, RouteRequest> pending_;
    std::map<std::uint64_t, Grant> grants_;
    /// Requests that count as active until their first attempt ends.
    std::set<std::uint64_t> active_;
    /// Requests that wait for tokens, in order of arrival.
    std::vector<std::uint64_t> tokenQueue_;
    /// How many of them are included in the report in flight.
    std::size_t reportedTokenQueueSize_ = 0;
    decisions::CrashReporter crashReporter_;
    /// Term of the coordinator that counts the reported crashes.
    std::uint64_t crashesTerm_ = 0;
    /// Term of the coordinator that has this node's refusals.
    std::uint64_t refusalsTerm_ = 0;
    /// The report in flight contains the refusals.
    bool wereRefusalsReported_ = false;
    /// Versions of the fleet's state that the router and other tasks have.
    decisions::FleetFollower follower_;
    bool isRefusing_ = false;
    bool isReporting_ = false;
    bool hasUrgentReport_ = false;
    bool isStopping_ = false;
    bool isRunning_ = true;
    core::TimePoint lastReport_ = {};
    core::TimePoint nextReport_ = {};
    std::chrono::milliseconds reportInterval_ = {};
    core::TimePoint lastAnswer_ = {};
    boost::fibers::fiber fiber_;
};

} // namespace boragerack::gateway
