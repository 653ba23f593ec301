#include "boragerack/config/LoadGeneratorSettings.h"

#include "ObjectReader.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxWeight = 1'000'000;
constexpr std::int64_t kMaxRequestsPerMinute = 6'000'000;
/// Every request leaves a record in memory until the report is made.
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

void readGroups(ObjectReader &reader, LoadGeneratorSettings &settings, ParseErrorCollector &fault)
{
    reader.readArray("organisations", [&](const json::value &value, const std::string &path) {
        ObjectReader entry(value, path, fault);
        LoadGeneratorOrganisation organisation;
        organisation.organisation.value = entry.readName("organisation");
        organisation.keyFile = entry.readText("keyFile");
        organisation.weight = entry.readInteger("weight", 1, kMaxWeight, 1);
        entry.finish();
        settings.organisations.push_back(organisation);
    });
    reader.readArray("models", [&](const json::value &value, const std::string &path) {
        ObjectReader entry(value, path, fault);
        settings.models.push_back(
            {entry.readText("model"), entry.readInteger("weight", 1, kMaxWeight, 1)});
        entry.finish();
    });
    if (settings.organisations.empty())
        fault.report("organisations", "[]", "at least one organisation");
    if (settings.models.empty())
        fault.report("models", "[]", "at least one model");
}

void readSettings(ObjectReader &reader, LoadGeneratorSettings &settings, ParseErrorCollector &fault)
{
    const LoadGeneratorSettings defaults;
    readGroups(reader, settings, fault);
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
    ParseErrorCollector fault {std::string(file), {}};
    LoadGeneratorSettings settings;
    readDocument(text, fault, [&](ObjectReader &reader) { readSettings(reader, settings, fault); });
    if (fault.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *fault.message);
    return settings;
}

} // namespace boragerack::config
