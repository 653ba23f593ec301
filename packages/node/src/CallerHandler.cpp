#include "CallerHandler.h"

#include <string_view>

#include <boost/json.hpp>

#include "CallerError.h"

namespace boragerack::node {

namespace json = boost::json;

namespace {

runtime::HttpResponse makeJson(const json::value &body)
{
    return {200, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

bool isCompletion(std::string_view path)
{
    return path == "/v1/completions" || path == "/v1/chat/completions";
}

} // namespace

CallerHandler::CallerHandler(const RequestDependencies &services,
                             const runtime::Published<MembershipSnapshot> &members,
                             std::chrono::milliseconds defaultTimeout,
                             std::chrono::milliseconds addressLifetime)
    : services_(services)
    , members_(members)
    , defaultTimeout_(defaultTimeout)
    , addressLifetime_(addressLifetime)
    , modelHandler_(services)
    , serviceHandler_(services)
{
}

void CallerHandler::handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder)
{
    if (handleStatus(request, responder))
        return;
    const core::TimePoint now = services_.clock.now();
    if (const auto refusal = services_.lifecycle.admission().get()->refusalAt(now)) {
        responder.send(makeErrorResponse(*refusal));
        // Aborting makes the caller request another address.
        responder.abortConnection();
        return;
    }
    if (!services_.lifecycle.send({decisions::lifecycle::RequestStarted(), now})) {
        responder.send(makeErrorResponse(decisions::makeDrainingError()));
        return;
    }
    handleAdmitted(request, responder);
    static_cast<void>(
        services_.lifecycle.send({decisions::lifecycle::RequestEnded(), services_.clock.now()}));
}

void CallerHandler::handleAdmitted(const runtime::HttpRequest &request,
                                   runtime::HttpResponder &responder)
{
    const auto context = makeCallerContext(request, *services_.configuration.get(),
                                           services_.clock.now(), defaultTimeout_);
    if (!core::isOk(context)) {
        responder.send(makeErrorResponse(core::errorOf(context)));
        return;
    }
    const std::string_view path = runtime::pathOf(request);
    if (path.starts_with("/services/")) {
        serviceHandler_.handle(request, core::valueOf(context), responder);
        return;
    }
    const bool isModelPath = isCompletion(path) || path == "/v1/models";
    if (!isModelPath) {
        responder.send(
            makeErrorResponse(core::makeNotRunError(core::ErrorCode::NotFound, "no such path")));
    } else if (!core::valueOf(context).hasKey) {
        responder.send(makeErrorResponse(
            core::makeNotRunError(core::ErrorCode::Unauthenticated, "a valid key is required")));
    } else if (path == "/v1/models") {
        responder.send(listModels(core::valueOf(context)));
    } else if (request.method != "POST") {
        responder.send(makeErrorResponse(
            core::makeNotRunError(core::ErrorCode::InvalidRequest, "the method must be POST")));
    } else {
        modelHandler_.handle(request, core::valueOf(context), responder);
    }
}

bool CallerHandler::handleStatus(const runtime::HttpRequest &request,
                                 runtime::HttpResponder &responder)
{
    const std::string_view path = runtime::pathOf(request);
    if (path == "/healthz") {
        responder.send({200, {{"Content-Type", "text/plain"}}, "ok\n"});
    } else if (path == "/readyz") {
        const auto refusal =
            services_.lifecycle.admission().get()->refusalAt(services_.clock.now());
        responder.send(
            refusal ? makeErrorResponse(*refusal)
                    : runtime::HttpResponse {200, {{"Content-Type", "text/plain"}}, "ready\n"});
    } else if (path == "/metrics") {
        setGauges();
        responder.send(
            {200, {{"Content-Type", "text/plain; version=0.0.4"}}, services_.metrics.expose()});
    } else if (path == "/v1/addresses") {
        responder.send(listAddresses());
    } else {
        return false;
    }
    return true;
}

void CallerHandler::setGauges()
{
    const auto configuration = services_.configuration.get();
    services_.metrics.set("boragerack_configuration_version", "",
                          static_cast<std::int64_t>(configuration->version));
    std::int64_t alive = 0;
    std::int64_t suspected = 0;
    const auto members = members_.get();
    for (const Member &member : members->members)
        ++(member.isSuspected ? suspected : alive);
    services_.metrics.set("boragerack_members", runtime::makeLabels({{"state", "alive"}}), alive);
    services_.metrics.set("boragerack_members", runtime::makeLabels({{"state", "suspected"}}),
                          suspected);
    for (const decisions::Organisation &organisation :
         configuration->catalogue.contents().organisations) {
        if (const auto *plan = configuration->catalogue.findPlan(organisation.organisation)) {
            services_.metrics.set(
                "boragerack_plan_tokens_per_second",
                runtime::makeLabels({{"organisation", organisation.organisation.value}}),
                plan->tokensPerSecond);
        }
    }
}

runtime::HttpResponse CallerHandler::listAddresses() const
{
    json::array addresses;
    const auto members = members_.get();
    const auto admission = services_.lifecycle.admission().get();
    const bool isSelfPublished =
        !admission->refusalAt(services_.clock.now()) && !admission->isAddressWithdrawn;
    for (const Member &member : members->members) {
        const bool isSelf = member.record.instance == services_.identity.instance;
        // A stopping node omits its own address at once; other nodes omit it when its record is
        // deleted.
        if (isSelf ? isSelfPublished : member.record.version != 0 && !member.isSuspected)
            addresses.push_back(json::value(member.record.callerAddress));
    }
    const auto lifetime = std::chrono::duration_cast<std::chrono::seconds>(addressLifetime_);
    return makeJson(
        json::object {{"addresses", addresses}, {"lifetime_seconds", lifetime.count()}});
}

runtime::HttpResponse CallerHandler::listModels(const CallerContext &context) const
{
    json::array models;
    const auto configuration = services_.configuration.get();
    if (const auto *plan = configuration->catalogue.findPlan(context.organisation)) {
        for (const auto &model : plan->models) {
            const std::string base = model.model.value + "@" + model.version;
            models.push_back(json::object {{"id", base}, {"object", "model"}});
            for (const auto &adapter : model.adapters)
                models.push_back(
                    json::object {{"id", base + ":" + adapter.adapter.value}, {"object", "model"}});
        }
    }
    return makeJson(json::object {{"object", "list"}, {"data", models}});
}

} // namespace boragerack::node
