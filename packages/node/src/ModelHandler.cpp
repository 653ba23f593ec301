#include "ModelHandler.h"

#include <algorithm>
#include <utility>

#include "CallerError.h"
#include "CallerSink.h"
#include "RequestMetrics.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::node {

namespace {

/// Tokens that a request has used: those sent to the caller, or the count reported by the engine. A
/// failed response that was not streamed counts in full, because its progress is unknown.
std::int64_t countTokens(const ModelRequest &request, const ForwardingResult &result,
                         const CallerSink &sink)
{
    if (request.isStream)
        return request.promptTokens + static_cast<std::int64_t>(result.forwardedUnits);
    const auto reported = parseCompletionTokens(sink.response().body);
    return request.promptTokens + reported.value_or(request.maxTokens);
}

/// Maximum time without received data for a response that is not streamed: an engine sends nothing
/// before it is complete.
constexpr std::chrono::seconds kBufferedResponseInactivityLimit(120);

} // namespace

ModelHandler::ModelHandler(const RequestDependencies &services)
    : services_(services)
{
}

void ModelHandler::handle(const runtime::HttpRequest &request, const CallerContext &context,
                          runtime::HttpResponder &responder)
{
    const auto model = parseModelRequest(request.body);
    if (!core::isOk(model)) {
        responder.send(makeErrorResponse(core::errorOf(model)));
        return;
    }
    const auto artifact = authorise(core::valueOf(model), context);
    if (!core::isOk(artifact)) {
        responder.send(makeErrorResponse(core::errorOf(artifact)));
        return;
    }
    const std::vector<decisions::CrashSuspect> suspects =
        decisions::makeCrashSuspects({context.organisation, runtime::pathOf(request), request.body,
                                      core::valueOf(model).sharedParts});
    if (const auto refusal = services_.quarantine.check(suspects, context.deadline)) {
        refuse(*refusal, context, core::valueOf(model), responder);
        return;
    }

    const ModelRequest &parsed = core::valueOf(model);
    const std::int64_t tokens = parsed.promptTokens + parsed.maxTokens;
    const auto reservation = reserve(tokens, context);
    if (!core::isOk(reservation)) {
        if (core::errorOf(reservation).code == core::ErrorCode::RateLimited) {
            services_.metrics.add(
                "boragerack_tokens_refused_total",
                runtime::makeLabels({{"organisation", context.organisation.value}}),
                static_cast<std::uint64_t>(tokens));
        }
        refuse(core::errorOf(reservation), context, parsed, responder);
        return;
    }

    const ForwardingJob job = makeJob(request, parsed, core::valueOf(artifact), context);
    CallerSink sink(responder, job.isEventStream, services_.clock);
    RequestForwarder runner(services_.charts, services_.client, services_.routing, services_.clock,
                            job, sink, [&] { return findCancelReason(context, services_); });
    const ForwardingResult result = runner.run();
    const std::int64_t used =
        result.verdict == core::Verdict::NotRun ? 0 : countTokens(parsed, result, sink);
    static_cast<void>(services_.budget.send(
        decisions::ReservationSettled {core::valueOf(reservation), std::min(used, tokens)}));
    reportOutcome(suspects, result);
    countRequest(services_.metrics, context.organisation, parsed.model, result.verdict,
                 result.error);
    services_.metrics.add("boragerack_tokens_admitted_total",
                          runtime::makeLabels({{"organisation", context.organisation.value}}),
                          static_cast<std::uint64_t>(std::min(used, tokens)));
    if (sink.firstPartAt()) {
        services_.metrics.observe("boragerack_first_token_seconds",
                                  runtime::makeLabels({{"organisation", context.organisation.value},
                                                       {"model", parsed.model}}),
                                  *sink.firstPartAt() - context.receivedAt);
    }
    for (const core::Duration gap : sink.gaps()) {
        services_.metrics.observe("boragerack_inter_token_seconds",
                                  runtime::makeLabels({{"organisation", context.organisation.value},
                                                       {"model", parsed.model}}),
                                  gap);
    }
    sink.finish(result);
}

void ModelHandler::refuse(const core::Error &error, const CallerContext &context,
                          const ModelRequest &model, runtime::HttpResponder &responder)
{
    countRequest(services_.metrics, context.organisation, model.model, error.verdict, error);
    responder.send(makeErrorResponse(error));
}

core::Result<decisions::RequestNumber> ModelHandler::reserve(std::int64_t tokens,
                                                             const CallerContext &context)
{
    const auto configuration = services_.configuration.get();
    const auto *plan = configuration->catalogue.findPlan(context.organisation);
    if (!plan || tokens > plan->burstTokens) {
        return core::makeNotRunError(core::ErrorCode::RateLimited,
                                     "the request may use " + std::to_string(tokens)
                                         + " tokens, more than the burst of the plan");
    }
    return services_.budget.reserve(context.organisation, tokens, context.deadline);
}

core::Result<decisions::Artifact> ModelHandler::authorise(const ModelRequest &model,
                                                          const CallerContext &context) const
{
    const auto configuration = services_.configuration.get();
    const auto &catalogue = configuration->catalogue;
    const auto *permission =
        catalogue.findModel(context.organisation, {model.model}, model.version);
    if (!permission) {
        return core::makeNotRunError(core::ErrorCode::NotPermitted,
                                     "the plan does not include model " + model.model
                                         + (model.version.empty() ? "" : "@" + model.version));
    }
    if (!model.adapter.empty()
        && !catalogue.findAdapter(context.organisation, {model.model}, permission->version,
                                  {model.adapter})) {
        return core::makeNotRunError(core::ErrorCode::NotPermitted,
                                     "the plan does not include adapter " + model.adapter
                                         + " of model " + model.model);
    }
    return decisions::Artifact {permission->model, permission->version, {model.adapter}};
}

ForwardingJob ModelHandler::makeJob(const runtime::HttpRequest &request, const ModelRequest &model,
                                    const decisions::Artifact &artifact,
                                    const CallerContext &context) const
{
    ForwardingJob job;
    job.plan.request = makeRequestId(services_.identity, services_.random);
    job.plan.policy = decisions::SendPolicy::Repeatable;
    job.plan.canResume = model.isStream;
    job.plan.echoesAttempt = model.isStream;
    job.plan.deadline = context.deadline;
    job.destination = artifact;
    job.isEventStream = model.isStream;
    if (!model.isStream)
        job.limits.inactivityWhileWorking = kBufferedResponseInactivityLimit;
    // Only the headers that the engine needs are forwarded, so that it never receives a key.
    job.request = {"POST",
                   std::string(runtime::pathOf(request)),
                   {{"Content-Type", "application/json"},
                    {"X-Model-Version", artifact.version},
                    {"X-Organisation", context.organisation.value}},
                   makeEngineBody(request.body, artifact)};
    return job;
}

void ModelHandler::reportOutcome(const std::vector<decisions::CrashSuspect> &suspects,
                                 const ForwardingResult &result)
{
    if (!result.crashes.empty())
        static_cast<void>(services_.quarantine.trySend(TargetsCrashed {suspects, result.crashes}));
    if (!result.error)
        static_cast<void>(services_.quarantine.trySend(RequestCompleted {suspects}));
}

} // namespace boragerack::node
