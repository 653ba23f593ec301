#include "GatewayRequestHandler.h"

#include <algorithm>

#include "LifecycleTask.h"
#include "boragerack/core/RendezvousHash.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

/// Timeout of a request if neither the caller nor the route specifies one.
constexpr std::chrono::milliseconds kDefaultTimeout = std::chrono::seconds(30);
constexpr std::chrono::milliseconds kRetryAfter(300);
/// Largest urgency value that targets accept; the urgency comes from the priority of the
/// organisation or route.
constexpr int kLeastUrgent = 9;

core::Error notReady(std::string reason)
{
    return core::makeNotRunError(core::ErrorCode::Isolated, std::move(reason), kRetryAfter);
}

/// Counts as a request of the lifecycle for as long as it exists.
class RunningRequest
{
public:
    explicit RunningRequest(LifecycleTask &lifecycle)
        : lifecycle_(lifecycle)
    {
        lifecycle_.requestStarted();
    }
    RunningRequest(const RunningRequest &) = delete;
    RunningRequest &operator=(const RunningRequest &) = delete;
    ~RunningRequest() { lifecycle_.requestEnded(); }

private:
    LifecycleTask &lifecycle_;
};

std::string_view verdictOf(const RequestOutcome &outcome)
{
    return outcome.isCallerGone ? "caller_gone" : core::verdictName(outcome.verdict);
}

} // namespace

GatewayRequestHandler::GatewayRequestHandler(const RequestDependencies &dependencies,
                                             LifecycleTask &lifecycle)
    : dependencies_(dependencies)
    , lifecycle_(lifecycle)
{
}

void GatewayRequestHandler::handle(const runtime::HttpRequest &request,
                                   runtime::HttpResponder &responder)
{
    const core::TimePoint startedAt = dependencies_.clock.now();
    if (lifecycle_.isStopping())
        responder.closeAfterAnswer();
    if (const auto error = lifecycle_.admit()) {
        refuse(request, *error, responder);
        return;
    }
    auto result = admit(request);
    if (!core::isOk(result)) {
        refuse(request, core::errorOf(result), responder);
        return;
    }
    AdmittedRequest admitted = core::takeValue(std::move(result));
    admitted.number = ++requestCount_;
    const RequestOutcome outcome = execute(admitted, responder);
    record(admitted, outcome, startedAt);
}

RequestOutcome GatewayRequestHandler::execute(const AdmittedRequest &admitted,
                                              runtime::HttpResponder &responder)
{
    const RunningRequest running(lifecycle_);
    RequestExecution execution(dependencies_, admitted, responder);
    return execution.run();
}

core::Result<AdmittedRequest>
GatewayRequestHandler::admit(const runtime::HttpRequest &request) const
{
    auto decoded = dependencies_.protocol.decode(request);
    if (!core::isOk(decoded))
        return core::errorOf(decoded);
    CallerRequest caller = core::takeValue(std::move(decoded));
    const RouteTablePointer table = dependencies_.configuration.table();
    if (!table)
        return notReady("no configuration has been read yet");
    const auto *route = table->findRoute(caller.host, runtime::pathOf(request));
    const bool mayServe = dependencies_.configuration.mayServe();
    // An outdated configuration proves neither that a route does not exist nor that a key is valid.
    if (!mayServe && !(route && route->isOpen))
        return notReady("the configuration has not been confirmed recently");
    if (!route)
        return core::makeNotRunError(core::ErrorCode::NotFound, "no route for this host and path");
    return admitOnRoute(request, std::move(caller), *table, *route);
}

core::Result<AdmittedRequest>
GatewayRequestHandler::admitOnRoute(const runtime::HttpRequest &request, CallerRequest decoded,
                                    const decisions::RouteTable &table,
                                    const decisions::ServingRoute &route) const
{
    AdmittedRequest admitted {.request = request, .decoded = std::move(decoded), .route = route};
    std::optional<int> priority;
    if (table.requiresKeys() && !route.isOpen) {
        const auto *organisation = table.findKey(admitted.decoded.key);
        if (!organisation)
            return core::makeNotRunError(core::ErrorCode::Unauthenticated, "the key is not known");
        admitted.organisation = organisation->organisation;
        priority = organisation->priority;
        admitted.tokens = organisation->countsTokens
            ? admitted.decoded.tokens.value_or(organisation->defaultTokens)
            : 1;
    }
    const auto fleet = dependencies_.routing.fleet().get();
    if (!fleet->quarantined.empty()) {
        if (const auto refusal =
                findQuarantine(*fleet, makeCrashSuspects(admitted), dependencies_.clock.now()))
            return *refusal;
    }
    admitted.service =
        decisions::chooseService(route, core::stableHash(admitted.decoded.callerAttemptId));
    // Only model engines support urgency and artifacts.
    const auto *service = table.findService(admitted.service);
    if (!service || !service->engine)
        admitted.decoded.artifact.reset();
    else
        admitted.urgency = std::clamp(priority.value_or(route.priority), 0, kLeastUrgent);
    const auto timeout = route.timeout.count() > 0 ? route.timeout : kDefaultTimeout;
    admitted.deadline =
        dependencies_.clock.now() + std::min(timeout, admitted.decoded.timeout.value_or(timeout));
    return admitted;
}

void GatewayRequestHandler::refuse(const runtime::HttpRequest &request, const core::Error &error,
                                   runtime::HttpResponder &responder) const
{
    const auto decoded = dependencies_.protocol.decode(request);
    const std::string attempt = core::isOk(decoded) ? core::valueOf(decoded).callerAttemptId : "";
    const auto response = dependencies_.protocol.encodeRefusal(error, attempt);
    runtime::logRequestEvent(runtime::LogEvent::RequestRefused,
                             "request=" + attempt + " status=" + std::to_string(response.status)
                                 + " reason=" + std::string(core::errorCodeName(error.code))
                                 + " text=\"" + error.message + "\"");
    dependencies_.metrics.add(
        "boragerack_refusals_total",
        runtime::makeLabels({{"reason", core::errorCodeName(error.code)}, {"route", ""}}));
    responder.send(response);
}

void GatewayRequestHandler::record(const AdmittedRequest &admitted, const RequestOutcome &outcome,
                                   core::TimePoint startedAt) const
{
    const auto elapsed =
        std::chrono::floor<std::chrono::milliseconds>(dependencies_.clock.now() - startedAt);
    const std::string_view reason =
        outcome.error ? core::errorCodeName(outcome.error->code) : std::string_view("none");
    dependencies_.metrics.add("boragerack_requests_total",
                              runtime::makeLabels({{"route", admitted.route.name},
                                                   {"organisation", admitted.organisation.value},
                                                   {"verdict", verdictOf(outcome)},
                                                   {"reason", reason}}));
    dependencies_.metrics.observe("boragerack_request_seconds",
                                  runtime::makeLabels({{"route", admitted.route.name}}), elapsed);
    const RouteTablePointer table = dependencies_.configuration.table();
    runtime::logRequestEvent(
        outcome.error ? runtime::LogEvent::RequestFailed : runtime::LogEvent::RequestServed,
        "request=" + admitted.decoded.callerAttemptId + " route=" + admitted.route.name
            + " organisation=" + admitted.organisation.value
            + (admitted.decoded.artifact ? " model=" + admitted.decoded.artifact->model.value : "")
            + " target=" + outcome.target.value + " attempts=" + std::to_string(outcome.attempts)
            + " sends=" + std::to_string(outcome.sends)
            + " status=" + std::to_string(outcome.status)
            + " verdict=" + std::string(verdictOf(outcome)) + " reason=" + std::string(reason)
            + " waited_ms=" + std::to_string(outcome.waited.count())
            + " elapsed_ms=" + std::to_string(elapsed.count())
            + " configuration=" + std::to_string(table ? table->configuration().version : 0));
}

} // namespace boragerack::gateway
