#include "ModelHandler.h"

#include <utility>

#include "CallerError.h"
#include "CallerSink.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::node {

namespace {

/// An engine sends nothing before the end of an answer that is not streamed.
constexpr std::chrono::seconds kWholeAnswerSilence(120);

} // namespace

ModelHandler::ModelHandler(const RequestServices &services)
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
    const core::Digest fingerprint =
        decisions::makeFingerprint(context.organisation, runtime::pathOf(request), request.body);
    if (const auto refusal = services_.quarantine.check(fingerprint, context.deadline)) {
        responder.send(makeErrorResponse(*refusal));
        return;
    }

    const AttemptJob job = makeJob(request, core::valueOf(model), core::valueOf(artifact), context);
    CallerSink sink(responder, job.isEventStream, services_.clock);
    AttemptRunner runner(services_.charts, services_.client, services_.routing, services_.clock,
                         job, sink, [&] { return findCancelReason(context, services_); });
    const AttemptResult result = runner.run();
    reportDeaths(fingerprint, result);
    if (sink.firstPartAt()) {
        services_.metrics.observe("boragerack_first_token_seconds",
                                  makeLabels({{"organisation", context.organisation.value}}),
                                  *sink.firstPartAt() - context.receivedAt);
    }
    sink.finish(result);
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

AttemptJob ModelHandler::makeJob(const runtime::HttpRequest &request, const ModelRequest &model,
                                 const decisions::Artifact &artifact,
                                 const CallerContext &context) const
{
    AttemptJob job;
    job.plan.request = makeRequestId(services_.identity, services_.random);
    job.plan.policy = decisions::SendPolicy::Repeatable;
    job.plan.canResume = model.isStream;
    job.plan.echoesAttempt = model.isStream;
    job.plan.deadline = context.deadline;
    job.destination = artifact;
    job.isEventStream = model.isStream;
    if (!model.isStream)
        job.limits.silenceWhileWorking = kWholeAnswerSilence;
    // Only what the engine needs is passed on, so that no key can reach it.
    job.request = {"POST",
                   std::string(runtime::pathOf(request)),
                   {{"Content-Type", "application/json"},
                    {"X-Model-Version", artifact.version},
                    {"X-Organisation", context.organisation.value}},
                   makeEngineBody(request.body, artifact)};
    return job;
}

void ModelHandler::reportDeaths(const core::Digest &fingerprint, const AttemptResult &result)
{
    for (const decisions::AttemptId &attempt : result.deaths) {
        static_cast<void>(services_.quarantine.trySend(
            decisions::quarantine::CrashReport {fingerprint, attempt}));
    }
}

} // namespace boragerack::node
