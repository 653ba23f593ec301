#include "boragerack/config/LoadGeneratorSettings.h"

#include "ObjectReader.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxWeight = 1'000'000;
constexpr std::int64_t kMaxRequestsPerMinute = 6'000'000;
/// Limited because a record of every request is kept in memory until the report is written.
constexpr std::int64_t kMaxRequests = 500'000;
constexpr std::int64_t kMaxInFlight = 20'000;
constexpr std::int64_t kMaxMs = 3'600'000;
constexpr std::int64_t kMaxRequestTimeoutMs = 600'000;
constexpr std::int64_t kMaxWords = 100'000;

std::chrono::milliseconds readMs(ObjectReader &reader, std::string_view name, std::int64_t highest,
                                 std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(reader.readInteger(name, 1, highest, fallback.count()));
}

void readGroups(ObjectReader &reader, LoadGeneratorSettings &settings, ParseErrorCollector &errors)
{
    reader.readArray("organisations", [&](const json::value &value, const std::string &path) {
        ObjectReader entry(value, path, errors);
        LoadGeneratorOrganisation organisation;
        organisation.organisation.value = entry.readName("organisation");
        organisation.keyFile = entry.readText("keyFile");
        organisation.weight = entry.readInteger("weight", 1, kMaxWeight, 1);
        entry.finish();
        settings.organisations.push_back(organisation);
    });
    reader.readArray("models", [&](const json::value &value, const std::string &path) {
        ObjectReader entry(value, path, errors);
        settings.models.push_back(
            {entry.readText("model"), entry.readInteger("weight", 1, kMaxWeight, 1)});
        entry.finish();
    });
    if (settings.organisations.empty())
        errors.report("organisations", "[]", "at least one organisation");
    if (settings.models.empty())
        errors.report("models", "[]", "at least one model");
}

void readSettings(ObjectReader &reader, LoadGeneratorSettings &settings,
                  ParseErrorCollector &errors)
{
    const LoadGeneratorSettings defaults;
    readGroups(reader, settings, errors);
    settings.seed = reader.readInteger("seed", 0, INT64_MAX, defaults.seed);
    settings.requestsPerMinute = reader.readInteger("requestsPerMinute", 1, kMaxRequestsPerMinute,
                                                    defaults.requestsPerMinute);
    settings.duration = readMs(reader, "durationMs", kMaxMs, defaults.duration);
    settings.maxRequests = reader.readInteger("maxRequests", 1, kMaxRequests, defaults.maxRequests);
    settings.maxInFlight = reader.readInteger("maxInFlight", 1, kMaxInFlight, defaults.maxInFlight);
    settings.requestTimeout =
        readMs(reader, "requestTimeoutMs", kMaxRequestTimeoutMs, defaults.requestTimeout);
    settings.promptWords = reader.readInteger("promptWords", 1, kMaxWords, defaults.promptWords);
    settings.maxTokens = reader.readInteger("maxTokens", 1, kMaxWords, defaults.maxTokens);
    settings.coldAfter = readMs(reader, "coldAfterMs", kMaxMs, defaults.coldAfter);
}

} // namespace

core::Result<LoadGeneratorSettings> parseLoadGeneratorSettings(std::string_view file,
                                                               std::string_view text)
{
    ParseErrorCollector errors {std::string(file), {}};
    LoadGeneratorSettings settings;
    readDocument(text, errors,
                 [&](ObjectReader &reader) { readSettings(reader, settings, errors); });
    if (errors.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *errors.message);
    return settings;
}

} // namespace boragerack::config
