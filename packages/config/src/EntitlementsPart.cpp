#include "boragerack/config/EntitlementsPart.h"

#include <set>
#include <utility>

#include "ObjectReader.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxMemoryMiB = 1LL << 30;
constexpr std::int64_t kMaxTokens = 1'000'000'000'000;
constexpr std::int64_t kMaxWeight = 1000;
const std::set<std::string> kMethods = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

/// Reports an entry that duplicates an earlier one of the same array.
void checkUnique(std::set<std::string> &seen, const std::string &identity, const std::string &path,
                 ParseErrorCollector &errors)
{
    if (!seen.insert(identity).second)
        errors.report(path, "\"" + identity + "\" a second time", "each entry once");
}

decisions::ModelPermission readModel(const json::value &value, const std::string &path,
                                     ParseErrorCollector &errors)
{
    ObjectReader reader(value, path, errors);
    decisions::ModelPermission model;
    model.model.value = reader.readName("model");
    model.version = reader.readName("version");
    model.memoryMiB = reader.readInteger("memoryMiB", 1, kMaxMemoryMiB);
    std::set<std::string> seen;
    reader.readOptionalArray(
        "adapters", [&](const json::value &entry, const std::string &entryPath) {
            ObjectReader adapter(entry, entryPath, errors);
            model.adapters.push_back({{adapter.readName("adapter")},
                                      adapter.readInteger("memoryMiB", 1, kMaxMemoryMiB)});
            adapter.finish();
            checkUnique(seen, model.adapters.back().adapter.value, adapter.pathOf("adapter"),
                        errors);
        });
    reader.finish();
    return model;
}

decisions::Plan readPlan(const json::value &value, const std::string &path,
                         ParseErrorCollector &errors)
{
    ObjectReader reader(value, path, errors);
    decisions::Plan plan;
    plan.plan = reader.readName("plan");
    plan.tokensPerSecond = reader.readInteger("tokensPerSecond", 1, kMaxTokens);
    plan.burstTokens = reader.readInteger("burstTokens", 1, kMaxTokens);
    plan.weight = reader.readInteger("weight", 1, kMaxWeight, 1);
    std::set<std::string> models;
    reader.readOptionalArray("models", [&](const json::value &entry, const std::string &entryPath) {
        plan.models.push_back(readModel(entry, entryPath, errors));
        checkUnique(models, plan.models.back().model.value + " " + plan.models.back().version,
                    entryPath + ".model", errors);
    });
    std::set<std::string> services;
    reader.readOptionalArray(
        "services", [&](const json::value &entry, const std::string &entryPath) {
            if (const json::string *name = entry.if_string(); name && isName(*name))
                plan.services.push_back({std::string(*name)});
            else
                errors.report(entryPath, describe(entry), "the name of a service");
            checkUnique(services, describe(entry), entryPath, errors);
        });
    reader.finish();
    return plan;
}

decisions::ServiceRoute readRoute(const json::value &value, const std::string &path,
                                  ParseErrorCollector &errors)
{
    ObjectReader reader(value, path, errors);
    decisions::ServiceRoute route;
    route.method = reader.readText("method");
    if (!kMethods.contains(route.method))
        errors.report(reader.pathOf("method"), "\"" + route.method + "\"",
                      "GET, HEAD, POST, PUT, PATCH or DELETE");
    route.path = reader.readText("path");
    if (!route.path.starts_with('/') || route.path.find_first_of("?# ") != std::string::npos)
        errors.report(reader.pathOf("path"), "\"" + route.path + "\"",
                      "a path that starts with \"/\" and has no query");
    const bool isRead = route.method == "GET" || route.method == "HEAD";
    route.atMostOnce = reader.readFlag("atMostOnce", !isRead);
    route.requireIdempotencyKey = reader.readFlag("requireIdempotencyKey", false);
    route.isOpen = reader.readFlag("open", false);
    if (route.requireIdempotencyKey && !route.atMostOnce)
        errors.report(reader.pathOf("requireIdempotencyKey"), "true", "false, or atMostOnce true");
    // Idempotency keys belong to an organisation, and a request to an open route has none.
    if (route.requireIdempotencyKey && route.isOpen)
        errors.report(reader.pathOf("open"), "true", "false on a route that requires a key");
    reader.finish();
    return route;
}

decisions::Service readService(const json::value &value, const std::string &path,
                               ParseErrorCollector &errors)
{
    ObjectReader reader(value, path, errors);
    decisions::Service service;
    service.service.value = reader.readName("service");
    std::set<std::string> seen;
    reader.readArray("routes", [&](const json::value &entry, const std::string &entryPath) {
        service.routes.push_back(readRoute(entry, entryPath, errors));
        checkUnique(seen, service.routes.back().method + " " + service.routes.back().path,
                    entryPath, errors);
    });
    reader.finish();
    return service;
}

} // namespace

core::Result<EntitlementsPart> parseEntitlementsPart(std::string_view file, std::string_view text)
{
    ParseErrorCollector errors {std::string(file), {}};
    EntitlementsPart part;
    readDocument(text, errors, [&](ObjectReader &reader) {
        reader.readOptionalArray("plans", [&](const json::value &value, const std::string &path) {
            part.plans.push_back(readPlan(value, path, errors));
        });
        reader.readOptionalArray("services",
                                 [&](const json::value &value, const std::string &path) {
                                     part.services.push_back(readService(value, path, errors));
                                 });
        std::set<std::string> evacuated;
        reader.readOptionalArray(
            "evacuations", [&](const json::value &value, const std::string &path) {
                ObjectReader entry(value, path, errors);
                part.evacuations.push_back({{entry.readName("dataCentre")}});
                entry.finish();
                checkUnique(evacuated, part.evacuations.back().dataCentre.value,
                            entry.pathOf("dataCentre"), errors);
            });
    });
    if (errors.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *errors.message);
    return part;
}

} // namespace boragerack::config
