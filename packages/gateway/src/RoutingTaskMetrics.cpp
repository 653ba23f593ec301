// Counters and gauges of the routing task.

#include <string>

#include "RoutingTask.h"

#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

std::string_view nameOf(decisions::routing::LongPromptPlacement placement)
{
    return placement == decisions::routing::LongPromptPlacement::Chosen ? "chosen" : "other";
}

} // namespace

void RoutingTask::countRetry(const core::ServiceId &service, bool isAllowed)
{
    const decisions::RetryUsage usage = retryBudgetFor(service).usage(clock_.now());
    const std::string labels = runtime::makeLabels({{"service", service.value}});
    metrics_.set("boragerack_retry_budget_requests", labels, usage.requests);
    metrics_.set("boragerack_retry_budget_used", labels, usage.retries);
    metrics_.set("boragerack_retry_budget_limit", labels, static_cast<std::int64_t>(usage.allowed));
    if (!isAllowed)
        runtime::logRequestEvent(
            runtime::LogEvent::RetryRefused,
            "service=" + service.value + " requests=" + std::to_string(usage.requests) + " retries="
                + std::to_string(usage.retries) + " limit=" + std::to_string(usage.allowed)
                + " nodes=" + std::to_string(peakNodes_));
    metrics_.add(
        "boragerack_retries_total",
        runtime::makeLabels({{"service", service.value}, {"allowed", isAllowed ? "yes" : "no"}}));
}

void RoutingTask::countTokens(std::string_view kind, const core::OrganisationId &organisation,
                              std::int64_t tokens)
{
    if (tokens > 0 && tokenLimiter_.isLimited(organisation))
        metrics_.add("boragerack_tokens_total",
                     runtime::makeLabels({{"organisation", organisation.value}, {"kind", kind}}),
                     static_cast<std::uint64_t>(tokens));
}

void RoutingTask::countLongPrompt(const decisions::routing::Granted &granted)
{
    if (granted.longPrompt)
        metrics_.add("boragerack_long_prompts_total",
                     runtime::makeLabels({{"placement", nameOf(*granted.longPrompt)}}));
}

void RoutingTask::updateLongPromptTargets()
{
    metrics_.set("boragerack_long_prompt_targets", "",
                 static_cast<std::int64_t>(router_.longPromptTargets()));
}

} // namespace boragerack::gateway
