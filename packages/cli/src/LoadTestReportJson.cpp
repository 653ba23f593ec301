#include <boost/json.hpp>

#include "LoadTestReport.h"

namespace boragerack::cli {

namespace json = boost::json;

namespace {

double milliseconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

json::object describe(const LatencySummary &summary)
{
    return {{"count", summary.count},
            {"p50", milliseconds(summary.p50)},
            {"p95", milliseconds(summary.p95)},
            {"p99", milliseconds(summary.p99)},
            {"max", milliseconds(summary.max)}};
}

json::object describe(const GroupReport &group)
{
    json::array errors;
    for (const ErrorCount &error : group.errors)
        errors.push_back(json::object {
            {"code", error.code}, {"verdict", error.verdict}, {"count", error.count}});
    return {{"name", group.name},
            {"planned", group.planned},
            {"completed", group.completed},
            {"refused", group.refused},
            {"failed", group.failed},
            {"notSent", group.notSent},
            {"failedConnections", group.failedConnections},
            {"errors", errors},
            {"firstTokenMs", describe(group.firstToken)},
            {"interTokenMs", describe(group.interToken)},
            {"coldFirstTokenMs", describe(group.coldFirstToken)}};
}

json::array describe(const std::vector<GroupReport> &groups)
{
    json::array array;
    for (const GroupReport &group : groups)
        array.push_back(describe(group));
    return array;
}

} // namespace

std::string serialiseLoadTestReport(const config::LoadGeneratorSettings &settings,
                                    const LoadTestReport &report)
{
    return json::serialize(json::object {
        {"seed", settings.seed},
        {"requestsPerMinute", settings.requestsPerMinute},
        {"durationMs", settings.duration.count()},
        {"coldAfterMs", settings.coldAfter.count()},
        {"total", describe(report.total)},
        {"worstOrganisation", report.worstOrganisation},
        {"organisations", describe(report.organisations)},
        {"models", describe(report.models)},
    });
}

} // namespace boragerack::cli
