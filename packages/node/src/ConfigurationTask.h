#pragma once

#include <chrono>
#include <cstdint>

#include "boragerack/decisions/Catalogue.h"
#include "boragerack/platform/PlatformStore.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Published.h"

namespace boragerack::node {

/// The lists in effect.
struct ActiveConfiguration
{
    std::uint64_t version = 0;
    decisions::Catalogue catalogue;

    friend bool operator==(const ActiveConfiguration &, const ActiveConfiguration &) = default;
};

/// Follows the operators' lists in the platform and publishes what they permit. Lists that fail
/// the check leave the last valid ones in effect.
class ConfigurationTask
{
public:
    ConfigurationTask(platform::PlatformStore &store, std::chrono::milliseconds watchWait);

    void start();
    void stop() { isStopping_ = true; }

    const runtime::Published<ActiveConfiguration> &active() const { return active_; }

private:
    void run();
    bool readLists();

    platform::PlatformStore &store_;
    std::chrono::milliseconds watchWait_;
    bool isStopping_ = false;
    std::uint64_t revision_ = 0;
    runtime::Published<ActiveConfiguration> active_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::node
