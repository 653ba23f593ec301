#pragma once

#include <memory>
#include <string>

#include "boragerack/config/GatewaySettings.h"
#include "boragerack/core/Result.h"

namespace boragerack::platform {
class PlatformStore;
}

namespace boragerack::runtime {
class FiberRuntime;
class HttpClient;
} // namespace boragerack::runtime

namespace boragerack::gateway {

class CallerProtocol;
class ServingSource;
class TargetControl;

/// The outside systems of a gateway; all must outlive it.
struct GatewayDependencies
{
    const CallerProtocol &protocol;
    ServingSource &source;
    platform::PlatformStore &store;
    TargetControl &control;
};

/// One entry node: it serves callers, tells them which nodes to use, and may hold the lease of the
/// fleet's coordinator.
class Gateway
{
public:
    Gateway(runtime::FiberRuntime &fiberRuntime, const config::GatewaySettings &settings,
            const GatewayDependencies &ports);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Opens the listening sockets and starts all tasks.
    core::Result<core::Nothing> start();
    /// Takes over the settings that may change while the process runs: the lifetime of addresses.
    void updateSettings(const config::GatewaySettings &settings);
    /// Leaves the answers that callers are given; requests in progress are finished.
    void requestStop();
    void waitUntilStopped();

private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

} // namespace boragerack::gateway
