#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "boragerack/config/GatewaySettings.h"
#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"

namespace boragerack::platform {
class PlatformStore;
}

namespace boragerack::runtime {
class ByteBudget;
class FiberRuntime;
class HttpClient;
} // namespace boragerack::runtime

namespace boragerack::gateway {

class CallerProtocol;
class ServingSource;
class TargetControl;

/// External dependencies of a gateway; all must outlive it.
struct GatewayDependencies
{
    const CallerProtocol &protocol;
    ServingSource &source;
    platform::PlatformStore &store;
    TargetControl &control;
    /// Memory for bodies of requests and responses.
    std::shared_ptr<runtime::ByteBudget> buffers = nullptr;
};

/// Budget for the bodies that a process with these settings buffers.
std::size_t bufferLimitBytes(const config::GatewaySettings &settings);

/// An entry node. It serves callers' requests and address queries, and can hold the coordinator
/// lease of the fleet.
class Gateway
{
public:
    Gateway(runtime::FiberRuntime &fiberRuntime, const config::GatewaySettings &settings,
            const GatewayDependencies &dependencies);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Opens the listening sockets and starts all tasks.
    core::Result<core::Nothing> start();
    /// Applies the settings that can change at run time, which is the address lifetime.
    void updateSettings(const config::GatewaySettings &settings);
    /// Starts draining: the node is no longer returned in address answers, and requests in progress
    /// are completed. `requestedAt` is a time of core::SuspendAwareClock, at which the stop signal
    /// was received.
    void requestStop(core::TimePoint requestedAt);
    void waitUntilStopped();

private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

} // namespace boragerack::gateway
