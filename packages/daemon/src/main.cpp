#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/program_options.hpp>

#include <glog/logging.h>

#include "boragerack/adapter/Adapter.h"
#include "boragerack/config/GatewaySettings.h"
#include "boragerack/config/NodeSettings.h"
#include "boragerack/core/Clock.h"
#include "boragerack/gateway/Gateway.h"
#include "boragerack/node/Node.h"
#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/ByteBudget.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/ExceptionBoundary.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"

namespace adapter = boragerack::adapter;
namespace config = boragerack::config;
namespace core = boragerack::core;
namespace gateway = boragerack::gateway;
namespace options = boost::program_options;
namespace runtime = boragerack::runtime;

namespace {

enum ExitCode { Stopped = 0, UsageError = 2, AddressInUse = 3, PlatformUnreachable = 4 };

template<class Settings>
using ParseSettings = core::Result<Settings> (*)(std::string_view file, std::string_view text);

template<class Settings>
core::Result<Settings> readSettings(const std::string &path, ParseSettings<Settings> parse)
{
    std::ifstream file(path);
    if (!file)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, "cannot read " + path);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    return parse(path, text);
}

int exitCodeOf(core::ErrorCode code)
{
    switch (code) {
    case core::ErrorCode::ConnectionFailed:
        return AddressInUse;
    case core::ErrorCode::PlatformUnavailable:
        return PlatformUnreachable;
    default:
        return UsageError;
    }
}

/// Blocks the fiber until SIGTERM or SIGINT is received, and returns when it was. Calls `onReload`
/// for each SIGHUP. The time is taken before the fiber runs, which other fibers may delay.
template<class OnOther>
core::TimePoint waitForStopSignal(boost::asio::signal_set &signals, const core::Clock &clock,
                                  OnOther onReload)
{
    int received = 0;
    core::TimePoint receivedAt;
    while (received != SIGTERM && received != SIGINT) {
        runtime::awaitIo([&](auto completion) {
            signals.async_wait([completion = std::move(completion), &clock, &received, &receivedAt](
                                   const boost::system::error_code &error, int number) mutable {
                received = number;
                receivedAt = clock.now();
                completion(error);
            });
        });
        if (received == SIGHUP)
            onReload();
    }
    return receivedAt;
}

runtime::HttpClientOptions platformClientOptions()
{
    runtime::HttpClientOptions options;
    // The store and the targets respond within a few ms. A connection without any acknowledgement
    // for this long is replaced before the freshness proof expires.
    options.connectTimeout = std::chrono::milliseconds(800);
    options.unconfirmedTimeout = std::chrono::milliseconds(1200);
    options.idleTimeout = std::chrono::seconds(5);
    options.maxIdleConnectionsPerAddress = 4;
    return options;
}

int runNode(const std::string &, const config::NodeSettings &settings)
{
    runtime::FiberRuntime fiberRuntime;
    boragerack::node::Node node(fiberRuntime, settings);
    const auto addresses = node.start();
    if (!core::isOk(addresses)) {
        const core::Error &error = core::errorOf(addresses);
        runtime::logEvent(runtime::LogEvent::StartFailed, error.message);
        return exitCodeOf(error.code);
    }
    std::cout << "ready caller=" << core::valueOf(addresses).caller
              << " peer=" << core::valueOf(addresses).peer << std::endl;
    boost::asio::signal_set signals(fiberRuntime.ioContext(), SIGTERM, SIGINT);
    node.requestStop(waitForStopSignal(signals, core::MonotonicClock(), [] {}));
    node.waitUntilStopped();
    runtime::logEvent(runtime::LogEvent::NodeStopped, settings.instance.value);
    return Stopped;
}

/// Orders and reports. A faulty target must not use up the memory for the platform's responses.
runtime::HttpClientOptions controlClientOptions()
{
    constexpr std::size_t kMaxReportBytes = 1024 * 1024;
    runtime::HttpClientOptions options = platformClientOptions();
    options.maxResponseBytes = kMaxReportBytes;
    return options;
}

/// Interval at which the settings file is checked for changes.
constexpr std::chrono::milliseconds kSettingsPollInterval(2000);

/// The settings in effect, and the error that was last reported for their file.
struct LoadedSettings
{
    config::GatewaySettings current;
    std::string error;
};

/// Applies changed settings. Invalid settings are logged once and the current ones stay in effect.
void reloadSettings(const std::string &path, LoadedSettings &loaded, gateway::Gateway &gateway)
{
    const auto settings = readSettings<config::GatewaySettings>(path, config::parseGatewaySettings);
    const std::string error = core::isOk(settings) ? "" : core::errorOf(settings).message;
    if (const std::string reported = std::exchange(loaded.error, error);
        !error.empty() && error != reported)
        runtime::logEvent(runtime::LogEvent::SettingsInvalid, error);
    if (core::isOk(settings) && core::valueOf(settings) != loaded.current) {
        loaded.current = core::valueOf(settings);
        gateway.updateSettings(loaded.current);
    }
}

int runGateway(const std::string &path, const config::RecoveredGatewaySettings &recovered)
{
    for (const std::string &message : recovered.ignored)
        runtime::logEvent(runtime::LogEvent::SettingIgnored, message);
    const config::GatewaySettings &settings = recovered.settings;
    LoadedSettings loaded {settings, recovered.ignored.empty() ? "" : recovered.ignored.front()};
    runtime::FiberRuntime fiberRuntime;
    const auto buffers = std::make_shared<runtime::ByteBudget>(gateway::bufferLimitBytes(settings));
    runtime::HttpClient client(fiberRuntime.ioContext(), platformClientOptions());
    runtime::HttpClient controlClient(fiberRuntime.ioContext(), controlClientOptions(), buffers);
    const std::string platform =
        settings.platform.host + ":" + std::to_string(settings.platform.port);
    const auto protocol = adapter::makeCallerProtocol();
    const auto source = adapter::makeServingSource(client, platform);
    const auto store = adapter::makeStore(client, platform);
    const auto control = adapter::makeTargetControl(controlClient);
    gateway::Gateway gateway(fiberRuntime, settings,
                             {*protocol, *source, *store, *control, buffers});
    if (const auto started = gateway.start(); !core::isOk(started)) {
        const core::Error &error = core::errorOf(started);
        runtime::logEvent(runtime::LogEvent::StartFailed, error.message);
        return exitCodeOf(error.code);
    }
    boost::asio::signal_set signals(fiberRuntime.ioContext(), SIGTERM, SIGINT, SIGHUP);
    // The settings file may also change without a SIGHUP.
    boost::fibers::fiber([&] {
        runtime::runTask("settings", [&] {
            while (true) {
                boost::this_fiber::sleep_for(kSettingsPollInterval);
                reloadSettings(path, loaded, gateway);
            }
        });
    }).detach();
    gateway.requestStop(waitForStopSignal(signals, core::SuspendAwareClock(), [&] {
        runtime::runGuarded("settings", [&] { reloadSettings(path, loaded, gateway); });
    }));
    gateway.waitUntilStopped();
    runtime::logEvent(runtime::LogEvent::NodeStopped, settings.instance.value);
    // All requests are answered. Exiting without destructors is faster than stopping every task;
    // the kernel closes the remaining sockets.
    google::FlushLogFiles(google::INFO);
    std::_Exit(Stopped);
}

/// Reads the settings and runs the node. Logs an error in the settings and returns UsageError.
template<class Settings>
int runWith(const std::string &path, ParseSettings<Settings> parse,
            int (*run)(const std::string &, const Settings &))
{
    const auto settings = readSettings<Settings>(path, parse);
    if (!core::isOk(settings)) {
        runtime::logEvent(runtime::LogEvent::SettingsInvalid, core::errorOf(settings).message);
        return UsageError;
    }
    return run(path, core::valueOf(settings));
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description(
        "Usage: boragerackd --settings FILE\n       boragerackd --gateway [--settings FILE]");
    description.add_options()("settings", options::value<std::string>(),
                              "settings of the node in JSON")(
        "gateway",
        "serve the users' platform; its settings file is the default")("help", "print this text");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "boragerackd: " << error.what() << std::endl;
        return UsageError;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return Stopped;
    }
    const bool isGateway = values.count("gateway") > 0;
    const std::string path = values.count("settings") > 0 ? values["settings"].as<std::string>()
        : isGateway                                       ? adapter::settingsPath()
                                                          : std::string();
    if (path.empty()) {
        std::cerr << "boragerackd: the option '--settings' is required but missing" << std::endl;
        return UsageError;
    }
    // Without --gateway, standard output carries the node's addresses, so the log goes to standard
    // error.
    runtime::initializeLog(argv[0],
                           isGateway ? runtime::LogStream::StandardOutput
                                     : runtime::LogStream::StandardError);
    if (isGateway)
        return runWith<config::RecoveredGatewaySettings>(path, config::recoverGatewaySettings,
                                                         runGateway);
    return runWith<config::NodeSettings>(path, config::parseNodeSettings, runNode);
}
