#include "boragerack/decisions/PrefixWatch.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

constexpr std::chrono::milliseconds kRetryDelay {500};

} // namespace

core::Result<std::shared_ptr<const PrefixWatch::Binding>>
PrefixWatch::bind(const charts::StateChart &chart)
{
    using namespace std::string_view_literals;
    const charts::EnumNames<State, 4> states {
        {"stopped"sv, "reading"sv, "watching"sv, "backingOff"sv}};
    const charts::EnumNames<ChartEvent, 6> events {
        {"start"sv, "stop"sv, "answered"sv, "revisionTooOld"sv, "failed"sv, "retryDue"sv}};
    const charts::EnumNames<ChartAction, 2> actions {{"readAll"sv, "waitForChange"sv}};
    auto binding = Binding::make(chart, states, events, actions);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const Binding>(core::takeValue(std::move(binding)));
}

PrefixWatch::PrefixWatch(std::shared_ptr<const Binding> binding)
    : chart_(std::move(binding))
{
}

std::vector<PrefixWatch::Action> PrefixWatch::handle(const Event &event, core::TimePoint now)
{
    std::vector<ChartAction> chartActions;
    if (std::holds_alternative<Start>(event)) {
        chartActions = chart_.fire(ChartEvent::Start);
    } else if (std::holds_alternative<Stop>(event)) {
        chartActions = chart_.fire(ChartEvent::Stop);
    } else if (const auto *answered = std::get_if<Answered>(&event)) {
        if (isCurrent(answered->request)) {
            revision_ = answered->revision;
            chartActions = chart_.fire(ChartEvent::Answered);
        }
    } else if (const auto *failed = std::get_if<Failed>(&event)) {
        if (isCurrent(failed->request)) {
            failedAt_ = now;
            chartActions = chart_.fire(failed->isRevisionTooOld ? ChartEvent::RevisionTooOld
                                                                : ChartEvent::Failed);
        }
    } else if (now - failedAt_ >= kRetryDelay) {
        chartActions = chart_.fire(ChartEvent::RetryDue);
    }

    std::vector<Action> actions;
    for (const ChartAction chartAction : chartActions) {
        ++request_;
        if (chartAction == ChartAction::ReadAll)
            actions.emplace_back(ReadAll {request_});
        else
            actions.emplace_back(WaitForChange {request_, revision_});
    }
    return actions;
}

} // namespace boragerack::decisions
