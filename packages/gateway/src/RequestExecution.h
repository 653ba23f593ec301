#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "ConfigurationTask.h"
#include "CrashCheckTask.h"
#include "LifecycleTask.h"
#include "RoutingTask.h"
#include "boragerack/decisions/AttemptController.h"
#include "boragerack/gateway/CallerProtocol.h"
#include "boragerack/gateway/GatewayCharts.h"
#include "boragerack/runtime/ByteReservation.h"
#include "boragerack/runtime/HttpClient.h"
#include "boragerack/runtime/HttpExchange.h"
#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/runtime/ServerSentEventSplitter.h"

namespace boragerack::gateway {

/// Dependencies that all requests of a gateway share.
struct RequestDependencies
{
    const GatewayCharts &charts;
    const CallerProtocol &protocol;
    const ConfigurationTask &configuration;
    const LifecycleTask &lifecycle;
    RoutingTask &routing;
    CrashCheckTask &crashChecks;
    runtime::HttpClient &client;
    const core::Clock &clock;
    runtime::Metrics &metrics;
};

/// An admitted request with its route, service and limits.
struct AdmittedRequest
{
    std::uint64_t number = 0;
    const runtime::HttpRequest &request;
    CallerRequest decoded;
    decisions::ServingRoute route;
    core::ServiceId service;
    core::OrganisationId organisation;
    std::optional<int> urgency;
    /// Tokens that the request takes from the organisation's limit.
    std::int64_t tokens = 0;
    core::TimePoint deadline;
};

/// What may be the cause if a target crashes under the request.
std::vector<decisions::CrashSuspect> makeCrashSuspects(const AdmittedRequest &admitted);
/// The refusal of a request with one of the suspects; nullopt if it may be sent.
std::optional<core::Error> findQuarantine(const FleetView &fleet,
                                          const std::vector<decisions::CrashSuspect> &suspects,
                                          core::TimePoint now);

/// The result of a request.
struct RequestOutcome
{
    core::Verdict verdict = core::Verdict::NotRun;
    std::optional<core::Error> error;
    unsigned status = 0;
    /// Targets that were selected, including those to which no connection opened.
    std::uint32_t attempts = 0;
    /// Times that the request was written to a target.
    std::uint32_t sends = 0;
    core::TargetId target;
    std::chrono::milliseconds waited = {};
    bool isCallerGone = false;
};

/// Runs the attempts of one request on the fiber of its caller's connection.
class RequestExecution
{
public:
    RequestExecution(const RequestDependencies &dependencies, AdmittedRequest admitted,
                     runtime::HttpResponder &responder);
    RequestExecution(const RequestExecution &) = delete;
    RequestExecution &operator=(const RequestExecution &) = delete;
    /// Releases the target if run() ended with an exception. The tokens stay spent then.
    ~RequestExecution();

    RequestOutcome run();

private:
    using Actions = std::vector<decisions::AttemptController::Action>;

    void fire(const decisions::AttemptController::Event &event);
    void waitForEvent();
    void checkLimits();

    void perform(const decisions::attempt::ChooseTarget &action);
    void perform(const decisions::attempt::OpenConnection &action);
    void perform(const decisions::attempt::SendRequest &action);
    void perform(const decisions::attempt::ForwardHead &action);
    void perform(const decisions::attempt::ForwardPart &action);
    void perform(const decisions::attempt::CancelOnTarget &action);
    void perform(const decisions::attempt::CloseConnection &action);
    void perform(const decisions::attempt::ReleaseConnection &action);
    void perform(const decisions::attempt::DiscardAnswer &action);
    void perform(const decisions::attempt::Finish &action);

    void onExchange(const runtime::HttpConnected &event);
    void onExchange(const runtime::HttpResponseHead &event);
    void onExchange(const runtime::HttpBodyPart &event);
    void onExchange(const runtime::HttpCompleted &event);
    void onExchange(const core::Error &event);

    decisions::SendPermission requestSendPermission();
    bool mayStillRun() const;
    /// The refusal, if the request or a part of its prompt has crashed targets.
    std::optional<core::Error> findQuarantine() const;
    /// The refusal, if the process terminates before a target could answer.
    std::optional<core::Error> findStopRefusal() const;
    const std::vector<decisions::CrashSuspect> &suspects() const;
    void reportCrash();
    std::optional<core::Result<RouteGrant>> waitForRoute(const RouteReply &reply);
    void failAttempt();
    void forwardEvents(std::string_view bytes);
    void forwardEvent(std::string event);
    void forwardCompleteBody();
    void endRoute(decisions::AttemptOutcome outcome, bool isMissing = false,
                  bool isHarmless = false);
    void finishRequest(core::Verdict verdict);
    void onCallerGone();
    core::TimePoint toSteady(core::TimePoint time) const;
    decisions::AttemptId attemptId() const { return attempt_.current(); }

    const RequestDependencies &dependencies_;
    AdmittedRequest admitted_;
    runtime::HttpResponder &responder_;
    decisions::AttemptController attempt_;
    RouteReply reply_;
    std::optional<RouteGrant> grant_;
    bool isRouteOpen_ = false;
    bool isFinished_ = false;
    core::TimePoint sentAt_ = {};
    /// From the send to the first event of the answer.
    std::optional<core::Duration> firstPiece_;
    mutable std::vector<decisions::CrashSuspect> suspects_;
    std::vector<core::TargetId> tried_;
    bool wasMisdirected_ = false;
    std::unique_ptr<runtime::HttpExchange> exchange_;
    runtime::HttpResponseHead head_;
    runtime::ServerSentEventSplitter splitter_;
    std::string event_;
    std::string body_;
    /// For `body_`, or the event that `splitter_` has begun.
    runtime::ByteReservation reservation_;
    bool isStreaming_ = false;
    bool isFramed_ = true;
    std::uint64_t received_ = 0;
    std::optional<std::uint64_t> lastEvent_;
    bool isHeadSent_ = false;
    RequestOutcome outcome_;
};

} // namespace boragerack::gateway
