#include "boragerack/config/GatewaySettings.h"

#include "ObjectReader.h"
#include "SettingsFields.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr double kMaxRatio = 1000;
constexpr double kMaxCores = 1'000'000;

void readSettings(ObjectReader &reader, GatewaySettings &settings, ParseErrorCollector &errors)
{
    const GatewaySettings defaults;
    settings.instance.value = reader.readName("instance");
    settings.dataCentre.value = reader.readName("dataCentre");
    settings.callerListen = readAddress(reader, "callerListen", errors);
    settings.readyListen = readAddress(reader, "readyListen", errors);
    settings.directoryListen = readAddress(reader, "directoryListen", errors);
    settings.peerListen = readAddress(reader, "peerListen", errors);
    settings.metricsListen = readAddress(reader, "metricsListen", errors);
    settings.platform = readAddress(reader, "platform", errors);
    settings.chartsDirectory = reader.readText("chartsDirectory");
    const auto readTime = [&](const char *name, std::chrono::milliseconds lowest,
                              std::chrono::milliseconds fallback, Rounding rounding) {
        return readDuration(reader, name, lowest, fallback, rounding, errors);
    };
    settings.maxRevocationDelay =
        readTime("revocation", 1ms, defaults.maxRevocationDelay, Rounding::Down);
    // Zero disables evacuations, so a fraction of a millisecond must not become zero.
    settings.maxEvacuationDelay =
        readTime("evacuation", 0ms, defaults.maxEvacuationDelay, Rounding::Up);
    settings.orderHandover = readTime("orderHandover", 0ms, defaults.orderHandover, Rounding::Up);
    settings.stopTimeout = readTime("stopTimeout", 1ms, defaults.stopTimeout, Rounding::Down);
    settings.addressLifetime =
        readTime("addressLifetime", 1ms, defaults.addressLifetime, Rounding::Down);
    settings.retryRatio = reader.readNumber("retryRatio", 0, kMaxRatio, defaults.retryRatio);
    settings.retrySlack = reader.readNumber("retrySlack", 0, kMaxCount, defaults.retrySlack);
    settings.retryWindow = readTime("retryWindow", 1ms, defaults.retryWindow, Rounding::Up);
    settings.quotaTolerance =
        readLimit(reader, "quotaTolerance", 0, kMaxCount, defaults.quotaTolerance);
    settings.processorShare =
        reader.readNumber("processorShare", 0, kMaxCores, defaults.processorShare);
    settings.memoryMb = readLimit(reader, "memoryMb", 1, kMaxCount, defaults.memoryMb);
    settings.maxActiveRequests =
        reader.readInteger("maxActiveRequests", 1, kMaxCount, defaults.maxActiveRequests);
    settings.maxWaitingRequests =
        reader.readInteger("maxWaitingRequests", 0, kMaxCount, defaults.maxWaitingRequests);
    settings.maxWaitingPerOrganisation = reader.readInteger(
        "maxWaitingPerOrganisation", 0, kMaxCount, defaults.maxWaitingPerOrganisation);
}

} // namespace

core::Result<GatewaySettings> parseGatewaySettings(std::string_view file, std::string_view text)
{
    const auto recovered = recoverGatewaySettings(file, text);
    if (!core::isOk(recovered))
        return core::errorOf(recovered);
    const auto &[settings, ignored] = core::valueOf(recovered);
    if (!ignored.empty())
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, ignored.front());
    return settings;
}

core::Result<RecoveredGatewaySettings> recoverGatewaySettings(std::string_view file,
                                                              std::string_view text)
{
    const auto fail = [](const std::string &message) {
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, message);
    };
    ParseErrorCollector syntax {std::string(file), {}};
    auto document = parseDocument(text, syntax);
    if (!document)
        return fail(*syntax.message);
    RecoveredGatewaySettings recovered;
    std::string removed;
    while (true) {
        ParseErrorCollector errors {std::string(file), {}};
        recovered.settings = {};
        readObject(*document, errors,
                   [&](ObjectReader &reader) { readSettings(reader, recovered.settings, errors); });
        if (!errors.message)
            return recovered;
        // A required member that was removed is missing now; the first message says what was wrong.
        if (errors.path == removed)
            return fail(recovered.ignored.back());
        if (json::object *members = document->if_object();
            !members || members->erase(errors.path) == 0)
            return fail(*errors.message);
        removed = errors.path;
        recovered.ignored.push_back(*errors.message);
    }
}

} // namespace boragerack::config
