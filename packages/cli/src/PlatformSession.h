#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/program_options.hpp>

#include "CommandOptions.h"
#include "boragerack/platform/HttpPlatformStore.h"
#include "boragerack/runtime/FiberRuntime.h"
#include "boragerack/runtime/HttpClient.h"

namespace boragerack::cli {

constexpr std::int64_t kDefaultPlatformTimeoutMs = 2000;

/// Connection to the platform for the duration of one subcommand.
class PlatformSession
{
public:
    PlatformSession(std::string address, std::chrono::milliseconds callTimeout);

    platform::PlatformStore &store() { return store_; }
    runtime::HttpClient &client() { return client_; }

private:
    runtime::FiberRuntime fiberRuntime_;
    runtime::HttpClient client_;
    platform::HttpPlatformStore store_;
};

/// Whether a subcommand works without a connection to the platform.
enum class PlatformUse { Required, Optional };

/// Adds the options --platform and --timeout-ms.
void addPlatformOptions(boost::program_options::options_description &description,
                        PlatformUse use = PlatformUse::Required);

/// Values of the platform options.
struct PlatformOptions
{
    std::string address;
    std::chrono::milliseconds timeout;

    friend auto operator<=>(const PlatformOptions &, const PlatformOptions &) = default;
};

core::Result<PlatformOptions>
readPlatformOptions(const boost::program_options::variables_map &values);

} // namespace boragerack::cli
