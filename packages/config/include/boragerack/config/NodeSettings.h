#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"

namespace boragerack::config {

/// IP address and port; with port 0 the kernel selects a free port.
struct SocketAddress
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const SocketAddress &, const SocketAddress &) = default;
};

/// Settings of one node process.
struct NodeSettings
{
    core::InstanceId instance;
    core::DataCentreId dataCentre;
    core::RegionId region;
    SocketAddress callerListen;
    SocketAddress peerListen;
    SocketAddress platform;
    std::vector<SocketAddress> peers;
    std::string fleetSecretFile;
    std::string chartsDirectory;
    std::optional<std::string> statusDirectory;

    std::int64_t maxHeaderBytes = 16 * 1024;
    std::int64_t maxBodyBytes = 4 * 1024 * 1024;
    std::int64_t maxBufferedBytes = 256 * 1024 * 1024;
    std::int64_t maxCallerConnections = 2000;
    std::int64_t maxQueuedRequests = 2000;
    std::chrono::milliseconds requestTimeout = std::chrono::seconds(30);
    std::chrono::milliseconds addressLifetime = std::chrono::seconds(10);
    std::chrono::milliseconds drainDuration = std::chrono::seconds(60);
    std::chrono::milliseconds platformTimeout = std::chrono::seconds(1);
    std::chrono::milliseconds platformWatchWait = std::chrono::seconds(10);
    std::chrono::milliseconds targetReportInterval = std::chrono::seconds(1);

    friend auto operator<=>(const NodeSettings &, const NodeSettings &) = default;
};

/// Parses the text of a settings file; error messages identify it by `file`.
core::Result<NodeSettings> parseNodeSettings(std::string_view file, std::string_view text);

/// Parses "address:port" with an IPv4 address or an IPv6 address in brackets.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace boragerack::config
