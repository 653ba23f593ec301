#include "PlatformSession.h"

#include <utility>

#include "boragerack/config/NodeSettings.h"
#include "boragerack/core/Result.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

constexpr std::int64_t kMaxTimeoutMs = 60000;

} // namespace

PlatformSession::PlatformSession(std::string address, std::chrono::milliseconds callTimeout)
    : client_(fiberRuntime_.ioContext(), {})
    , store_(client_, std::move(address), callTimeout)
{
}

void addPlatformOptions(options::options_description &description, PlatformUse use)
{
    auto *address = options::value<std::string>()->value_name("ADDRESS");
    if (use == PlatformUse::Required)
        address->required();
    description.add_options()("platform", address, "address and port of the platform's object API")(
        "timeout-ms", options::value<std::int64_t>()->default_value(kDefaultPlatformTimeoutMs),
        "time limit of one call to the platform");
}

core::Result<PlatformOptions> readPlatformOptions(const options::variables_map &values)
{
    const auto invalid = [](const std::string &message) {
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, message);
    };
    const auto &address = values["platform"].as<std::string>();
    if (const auto parsed = config::parseSocketAddress(address); !parsed || parsed->port == 0) {
        return invalid("--platform: found \"" + address
                       + "\", expected an IP address and a port such as 127.0.0.1:7000");
    }
    const auto timeout = values["timeout-ms"].as<std::int64_t>();
    if (timeout < 1 || timeout > kMaxTimeoutMs) {
        return invalid("--timeout-ms: found " + std::to_string(timeout)
                       + ", expected an integer from 1 to " + std::to_string(kMaxTimeoutMs));
    }
    return PlatformOptions {address, std::chrono::milliseconds(timeout)};
}

} // namespace boragerack::cli
