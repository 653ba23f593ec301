#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "boragerack/config/NodeSettings.h"
#include "boragerack/node/Node.h"
#include "boragerack/runtime/Await.h"
#include "boragerack/runtime/EventLog.h"
#include "boragerack/runtime/FiberRuntime.h"

namespace config = boragerack::config;
namespace core = boragerack::core;
namespace options = boost::program_options;
namespace runtime = boragerack::runtime;

namespace {

enum ExitCode { Stopped = 0, UsageError = 2, AddressInUse = 3, PlatformUnreachable = 4 };

core::Result<config::NodeSettings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, "cannot read " + path);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    return config::parseNodeSettings(path, text);
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

void waitForSignal(runtime::FiberRuntime &fiberRuntime)
{
    boost::asio::signal_set signals(fiberRuntime.ioContext(), SIGTERM, SIGINT);
    runtime::awaitIo([&](auto completion) {
        signals.async_wait([completion](const boost::system::error_code &error, int) mutable {
            completion(error);
        });
    });
}

int runNode(const config::NodeSettings &settings)
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
    waitForSignal(fiberRuntime);
    node.requestStop();
    node.waitUntilStopped();
    runtime::logEvent(runtime::LogEvent::NodeStopped, settings.instance.value);
    return Stopped;
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("Usage: boragerackd --settings FILE");
    description.add_options()("settings", options::value<std::string>()->required(),
                              "settings of the node in JSON")("help", "print this text");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return Stopped;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "boragerackd: " << error.what() << std::endl;
        return UsageError;
    }

    runtime::initializeLog(argv[0]);
    const auto settings = readSettings(values["settings"].as<std::string>());
    if (!core::isOk(settings)) {
        runtime::logEvent(runtime::LogEvent::SettingsInvalid, core::errorOf(settings).message);
        return UsageError;
    }
    return runNode(core::valueOf(settings));
}
