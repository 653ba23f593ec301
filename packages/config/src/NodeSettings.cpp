#include "boragerack/config/NodeSettings.h"

#include <charconv>
#include <system_error>

#include "ObjectReader.h"
#include "SettingsFields.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxBytes = 1LL << 30;
constexpr std::int64_t kMaxCount = 1'000'000;

void readSettings(ObjectReader &reader, NodeSettings &settings, ParseErrorCollector &errors)
{
    settings.instance.value = reader.readName("instance");
    settings.dataCentre.value = reader.readName("dataCentre");
    settings.region.value = reader.readName("region");
    settings.callerListen = readAddress(reader, "callerListen", errors);
    settings.peerListen = readAddress(reader, "peerListen", errors);
    settings.platform = readAddress(reader, "platform", errors);
    reader.readArray("peers", [&](const json::value &value, const std::string &path) {
        if (const json::string *text = value.if_string())
            settings.peers.push_back(readAddressText(std::string(*text), path, errors));
        else
            errors.report(path, describe(value), std::string(kExpectedAddress));
    });
    settings.fleetSecretFile = reader.readText("fleetSecretFile");
    settings.chartsDirectory = reader.readText("chartsDirectory");
    settings.statusDirectory = reader.readNullableText("statusDirectory");

    const NodeSettings defaults;
    settings.maxHeaderBytes =
        reader.readInteger("maxHeaderBytes", 1024, kMaxBytes, defaults.maxHeaderBytes);
    settings.maxBodyBytes =
        reader.readInteger("maxBodyBytes", 1024, kMaxBytes, defaults.maxBodyBytes);
    settings.maxBufferedBytes =
        reader.readInteger("maxBufferedBytes", 1024, kMaxBytes, defaults.maxBufferedBytes);
    settings.maxCallerConnections =
        reader.readInteger("maxCallerConnections", 1, kMaxCount, defaults.maxCallerConnections);
    settings.maxQueuedRequests =
        reader.readInteger("maxQueuedRequests", 1, kMaxCount, defaults.maxQueuedRequests);
    settings.requestTimeout = readMs(reader, "requestTimeoutMs", defaults.requestTimeout);
    settings.addressLifetime = readMs(reader, "addressLifetimeMs", defaults.addressLifetime);
    settings.drainDuration = readMs(reader, "drainMs", defaults.drainDuration);
    settings.platformTimeout = readMs(reader, "platformTimeoutMs", defaults.platformTimeout);
    settings.platformWatchWait = readMs(reader, "platformWatchWaitMs", defaults.platformWatchWait);
    settings.targetReportInterval =
        readMs(reader, "targetReportIntervalMs", defaults.targetReportInterval);
}

bool isAddressText(std::string_view host)
{
    constexpr std::string_view kDigits = "0123456789.";
    constexpr std::string_view kHexDigits = "0123456789abcdefABCDEF:.";
    if (host.starts_with('[') && host.ends_with(']') && host.size() > 2) {
        host = host.substr(1, host.size() - 2);
        return host.find(':') != std::string_view::npos
            && host.find_first_not_of(kHexDigits) == std::string_view::npos;
    }
    return !host.empty() && host.find_first_not_of(kDigits) == std::string_view::npos;
}

} // namespace

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isAddressText(text.substr(0, colon)))
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (code != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    std::string host(text.substr(0, colon));
    if (host.starts_with('['))
        host = host.substr(1, host.size() - 2);
    return SocketAddress {host, port};
}

core::Result<NodeSettings> parseNodeSettings(std::string_view file, std::string_view text)
{
    ParseErrorCollector errors {std::string(file), {}};
    NodeSettings settings;
    readDocument(text, errors,
                 [&](ObjectReader &reader) { readSettings(reader, settings, errors); });
    if (errors.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *errors.message);
    return settings;
}

} // namespace boragerack::config
