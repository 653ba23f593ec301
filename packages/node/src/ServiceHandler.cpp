#include "ServiceHandler.h"

#include <utility>

#include "CallerError.h"
#include "CallerSink.h"
#include "ClaimRunner.h"
#include "RequestMetrics.h"

namespace boragerack::node {

namespace {

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::int64_t kServiceCallTokens = 1;
/// Maximum time without received data, which includes the time to the first byte.
constexpr std::chrono::seconds kServiceInactivityLimit(10);
constexpr std::chrono::minutes kServiceWorkingInactivityLimit(10);

core::Error notRun(core::ErrorCode code, std::string message)
{
    return core::makeNotRunError(code, std::move(message));
}

} // namespace

ServiceHandler::ServiceHandler(const RequestDependencies &services)
    : services_(services)
{
}

core::Result<ServiceHandler::Call> ServiceHandler::parseCall(const runtime::HttpRequest &request,
                                                             const CallerContext &context) const
{
    const std::string rest = request.target.substr(kServicePrefix.size());
    Call call;
    call.service.value = rest.substr(0, rest.find_first_of("/?"));
    call.target = rest.substr(call.service.value.size());
    if (!call.target.starts_with('/'))
        call.target.insert(0, "/");
    call.path = call.target.substr(0, call.target.find('?'));
    call.idempotencyKey = runtime::findHeader(request.headers, "Idempotency-Key");
    const auto configuration = services_.configuration.get();
    call.route = configuration->catalogue.findRoute(call.service, request.method, call.path);
    if (!call.route.isOpen) {
        if (!context.hasKey)
            return notRun(core::ErrorCode::Unauthenticated, "a valid key is required");
        if (!configuration->catalogue.mayUseService(context.organisation, call.service))
            return notRun(core::ErrorCode::NotPermitted,
                          "the plan does not include service " + call.service.value);
    }
    if (call.route.requireIdempotencyKey && call.idempotencyKey.empty())
        return notRun(core::ErrorCode::InvalidRequest,
                      "this route requires the header Idempotency-Key");
    return call;
}

void ServiceHandler::handle(const runtime::HttpRequest &request, const CallerContext &context,
                            runtime::HttpResponder &responder)
{
    const auto parsed = parseCall(request, context);
    if (!core::isOk(parsed)) {
        responder.send(makeErrorResponse(core::errorOf(parsed)));
        return;
    }
    const Call &call = core::valueOf(parsed);
    if (context.hasKey) {
        // The token counts as used regardless of the outcome of the call.
        const auto reservation =
            services_.budget.reserve(context.organisation, kServiceCallTokens, context.deadline);
        if (!core::isOk(reservation)) {
            responder.send(makeErrorResponse(core::errorOf(reservation)));
            return;
        }
        static_cast<void>(services_.budget.send(
            decisions::ReservationSettled {core::valueOf(reservation), kServiceCallTokens}));
    }
    if (call.route.atMostOnce && !call.idempotencyKey.empty()) {
        runClaimed(request, call, context, responder);
        return;
    }
    CallerSink sink(responder, false, services_.clock);
    RequestForwarder runner(services_.charts, services_.client, services_.routing, services_.clock,
                            makeJob(request, call, context), sink,
                            [&] { return findCancelReason(context, services_); });
    const ForwardingResult result = runner.run();
    countRequest(services_.metrics, context.organisation, "service:" + call.service.value,
                 result.verdict, result.error);
    sink.finish(result);
}

void ServiceHandler::runClaimed(const runtime::HttpRequest &request, const Call &call,
                                const CallerContext &context, runtime::HttpResponder &responder)
{
    const std::string route = request.method + " " + call.service.value + call.path;
    decisions::ClaimParameters plan;
    plan.key = decisions::makeClaimKey(context.organisation, route, call.idempotencyKey);
    plan.writer = {services_.identity.instance, services_.identity.incarnation,
                   services_.random.next()};
    plan.request = core::makeDigest(call.target + "\n" + request.body);
    plan.deadline = context.deadline;
    ClaimRunner claim(services_.charts.claim, services_.store, services_.clock, plan);
    const ClaimDecision decision = claim.begin();
    if (const auto *outcome = std::get_if<decisions::ClaimOutcome>(&decision)) {
        sendOutcome(*outcome, responder);
        return;
    }
    if (const auto *error = std::get_if<core::Error>(&decision)) {
        responder.send(makeErrorResponse(*error));
        return;
    }

    CallerSink sink(responder, false, services_.clock);
    RequestForwarder runner(services_.charts, services_.client, services_.routing, services_.clock,
                            makeJob(request, call, context), sink,
                            [&] { return findCancelReason(context, services_); });
    const ForwardingResult result = runner.run();
    countRequest(services_.metrics, context.organisation, "service:" + call.service.value,
                 result.verdict, result.error);
    const runtime::HttpResponse &response = sink.response();
    // The outcome is recorded before the response is sent, so that a later retry finds it.
    claim.finish(result.error
                     ? decisions::makeClaimOutcome(result.verdict, 0, "", "")
                     : decisions::makeClaimOutcome(
                         result.verdict, static_cast<std::uint16_t>(response.status),
                         std::string(runtime::findHeader(response.headers, "Content-Type")),
                         response.body));
    sink.finish(result);
}

void ServiceHandler::sendOutcome(const decisions::ClaimOutcome &outcome,
                                 runtime::HttpResponder &responder)
{
    if (outcome.verdict == core::Verdict::Ran && outcome.hasBody) {
        runtime::HttpResponse response {
            outcome.status, {{"Idempotent-Replayed", "true"}}, outcome.body};
        if (!outcome.contentType.empty())
            response.headers.push_back({"Content-Type", outcome.contentType});
        responder.send(response);
        return;
    }
    responder.send(makeErrorResponse({core::ErrorCode::DuplicateRequest, outcome.verdict,
                                      "a request with this Idempotency-Key was sent before and its "
                                      "answer is not available",
                                      std::chrono::milliseconds(0)}));
}

ForwardingJob ServiceHandler::makeJob(const runtime::HttpRequest &request, const Call &call,
                                      const CallerContext &context) const
{
    ForwardingJob job;
    job.plan.request = makeRequestId(services_.identity, services_.random);
    job.plan.policy = call.route.atMostOnce ? decisions::SendPolicy::AtMostOnce
                                            : decisions::SendPolicy::Repeatable;
    job.plan.deadline = context.deadline;
    job.destination = call.service;
    job.limits.inactivity = kServiceInactivityLimit;
    job.limits.inactivityWhileWorking = kServiceWorkingInactivityLimit;
    job.request = {request.method, call.target, {}, request.body};
    // Only these headers are forwarded, so that the target never receives a key.
    for (const std::string_view name : {"Content-Type", "Accept", "Idempotency-Key"}) {
        if (const auto value = runtime::findHeader(request.headers, name); !value.empty())
            job.request.headers.push_back({std::string(name), std::string(value)});
    }
    if (context.hasKey)
        job.request.headers.push_back({"X-Organisation", context.organisation.value});
    return job;
}

} // namespace boragerack::node
