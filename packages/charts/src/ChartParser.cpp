#include "boragerack/charts/ChartParser.h"

#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include <boost/json.hpp>

namespace boragerack::charts {

namespace json = boost::json;

namespace {

core::Error makeChartError(const std::string &chart, const std::string &reason)
{
    return core::makeNotRunError(core::ErrorCode::InvalidRequest, "chart " + chart + ": " + reason);
}

ChartState parseState(const json::object &object)
{
    ChartState state;
    if (const json::value *flag = object.if_contains("final"))
        state.isFinal = flag->as_bool();
    if (const json::value *events = object.if_contains("on")) {
        for (const auto &[event, value] : events->as_object()) {
            Transition transition;
            transition.target = json::value_to<std::string>(value.at("to"));
            if (const json::value *actions = value.as_object().if_contains("actions"))
                transition.actions = json::value_to<std::vector<std::string>>(*actions);
            state.transitions.emplace(event, std::move(transition));
        }
    }
    return state;
}

std::set<std::string> findReachableStates(const StateChart &chart)
{
    std::set<std::string> reached = {chart.initial};
    std::vector<std::string> pending = {chart.initial};
    while (!pending.empty()) {
        const std::string name = pending.back();
        pending.pop_back();
        for (const auto &[event, transition] : chart.states.at(name).transitions) {
            if (reached.insert(transition.target).second)
                pending.push_back(transition.target);
        }
    }
    return reached;
}

/// Describes the first error in the chart; empty if the chart is valid.
std::string findError(const StateChart &chart)
{
    if (!chart.states.contains(chart.initial))
        return "initial state \"" + chart.initial + "\" does not exist";
    for (const auto &[name, state] : chart.states) {
        if (state.isFinal && !state.transitions.empty())
            return "final state \"" + name + "\" has transitions";
        if (!state.isFinal && state.transitions.empty())
            return "state \"" + name + "\" has no exit";
        for (const auto &[event, transition] : state.transitions) {
            if (!chart.states.contains(transition.target)) {
                return "event \"" + event + "\" of state \"" + name + "\" leads to unknown state \""
                    + transition.target + "\"";
            }
        }
    }
    const std::set<std::string> reached = findReachableStates(chart);
    for (const auto &[name, state] : chart.states) {
        if (!reached.contains(name))
            return "state \"" + name + "\" cannot be reached";
    }
    return {};
}

} // namespace

core::Result<StateChart> parseChart(std::string_view text)
{
    StateChart chart;
    // Boost.JSON reports a missing member or a wrong type by throwing an exception.
    try {
        const json::value document = json::parse(text);
        chart.name = json::value_to<std::string>(document.at("name"));
        chart.initial = json::value_to<std::string>(document.at("initial"));
        for (const auto &[name, value] : document.at("states").as_object())
            chart.states.emplace(name, parseState(value.as_object()));
    } catch (const std::exception &exception) {
        return makeChartError(chart.name, exception.what());
    }
    if (const std::string error = findError(chart); !error.empty())
        return makeChartError(chart.name, error);
    return chart;
}

core::Result<StateChart> loadChart(const std::filesystem::path &directory, std::string_view name)
{
    const std::filesystem::path path = directory / (std::string(name) + ".json");
    std::ifstream file(path);
    if (!file)
        return makeChartError(std::string(name), "cannot read " + path.string());
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    return parseChart(text);
}

} // namespace boragerack::charts
