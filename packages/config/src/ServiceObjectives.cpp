#include "boragerack/config/ServiceObjectives.h"

#include <set>

#include "ObjectReader.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxThresholdMs = 600'000;
/// An objective of 1000 would have an error budget of zero, by which the burn rate is divided.
constexpr std::int64_t kMaxGoodPerMille = 999;

Indicator readIndicator(ObjectReader &reader, ParseErrorCollector &errors)
{
    const std::string text = reader.readText("indicator");
    if (text == "firstToken")
        return Indicator::FirstToken;
    if (text == "interToken")
        return Indicator::InterToken;
    if (text != "refusals")
        errors.report(reader.pathOf("indicator"), "\"" + text + "\"",
                      "firstToken, interToken or refusals");
    return Indicator::Refusals;
}

Objective readObjective(const json::value &value, const std::string &path,
                        ParseErrorCollector &errors)
{
    ObjectReader reader(value, path, errors);
    Objective objective;
    objective.name = reader.readName("name");
    objective.indicator = readIndicator(reader, errors);
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
    ParseErrorCollector errors {std::string(file), {}};
    ServiceObjectives settings;
    std::set<std::string> names;
    readDocument(text, errors, [&](ObjectReader &reader) {
        reader.readArray("objectives", [&](const json::value &value, const std::string &path) {
            settings.objectives.push_back(readObjective(value, path, errors));
            const std::string &name = settings.objectives.back().name;
            if (!names.insert(name).second)
                errors.report(path + ".name", "\"" + name + "\" a second time", "each name once");
        });
        if (settings.objectives.empty())
            errors.report("objectives", "[]", "at least one objective");
    });
    if (errors.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *errors.message);
    return settings;
}

} // namespace boragerack::config
