#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "boragerack/config/LoadGeneratorSettings.h"

namespace boragerack::cli {

/// One request scheduled `offset` after the start. `organisation` and `model` are indices into the
/// settings.
struct Arrival
{
    std::chrono::microseconds offset = std::chrono::microseconds(0);
    std::size_t organisation = 0;
    std::size_t model = 0;

    friend auto operator<=>(const Arrival &, const Arrival &) = default;
};

/// Generates the Poisson arrivals of the whole run, determined by the settings and their seed. They
/// are scheduled in advance because an open-loop load must not depend on response times.
std::vector<Arrival> makeArrivals(const config::LoadGeneratorSettings &settings);

} // namespace boragerack::cli
