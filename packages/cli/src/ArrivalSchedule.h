#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "boragerack/config/LoadGeneratorSettings.h"

namespace boragerack::cli {

/// One request that is due `offset` after the start; indices into the settings.
struct Arrival
{
    std::chrono::microseconds offset = std::chrono::microseconds(0);
    std::size_t organisation = 0;
    std::size_t model = 0;

    friend auto operator<=>(const Arrival &, const Arrival &) = default;
};

/// Poisson arrivals of the whole run, chosen by the seed alone. They are planned beforehand
/// because an open loop must not depend on how fast answers come.
std::vector<Arrival> makeArrivals(const config::LoadGeneratorSettings &settings);

} // namespace boragerack::cli
