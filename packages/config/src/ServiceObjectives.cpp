#include "boragerack/config/ServiceObjectives.h"

#include <set>

#include "ObjectReader.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxThresholdMs = 600'000;
/// An objective of all requests would have no error budget to divide by.
constexpr std::int64_t kMaxGoodPerMille = 999;

Indicator readIndicator(ObjectReader &reader, ParseErrorCollector &fault)
{
    const std::string text = reader.readText("indicator");
    if (text == "firstToken")
        return Indicator::FirstToken;
    if (text == "interToken")
        return Indicator::InterToken;
    if (text != "refusals")
        fault.report(reader.pathOf("indicator"), "\"" + text + "\"",
                     "firstToken, interToken or refusals");
    return Indicator::Refusals;
}

Objective readObjective(const json::value &value, const std::string &path,
                        ParseErrorCollector &fault)
{
    ObjectReader reader(value, path, fault);
    Objective objective;
    objective.name = reader.readName("name");
    objective.indicator = readIndicator(reader, fault);
    if (objective.indicator != Indicator::Refusals)
        objective.threshold =
            std::chrono::milliseconds(reader.readInteger("thresholdMs", 1, kMaxThresholdMs));
    objective.goodPerMille = reader.readInteger("goodPerMille", 1, kMaxGoodPerMille);
    reader.finish();
    return objective;
}

} // namespace

core::Result<ServiceObjectives> parseServiceObjectives(std::string_view file, std::string_view text)
{
    ParseErrorCollector fault {std::string(file), {}};
    ServiceObjectives settings;
    std::set<std::string> names;
    readDocument(text, fault, [&](ObjectReader &reader) {
        reader.readArray("objectives", [&](const json::value &value, const std::string &path) {
            settings.objectives.push_back(readObjective(value, path, fault));
            const std::string &name = settings.objectives.back().name;
            if (!names.insert(name).second)
                fault.report(path + ".name", "\"" + name + "\" a second time", "each name once");
        });
        if (settings.objectives.empty())
            fault.report("objectives", "[]", "at least one objective");
    });
    if (fault.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *fault.message);
    return settings;
}

} // namespace boragerack::config
