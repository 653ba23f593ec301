#include "ArrivalSchedule.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "boragerack/core/SeededRandomSource.h"

namespace boragerack::cli {

namespace {

constexpr double kMicrosecondsPerMinute = 60e6;

/// Uniformly distributed in [0, 1).
double nextFraction(core::RandomSource &random)
{
    constexpr unsigned kUnusedBits = 11;
    return static_cast<double>(random.next() >> kUnusedBits) * 0x1p-53;
}

template<class Entry>
std::vector<std::int64_t> sumWeights(const std::vector<Entry> &entries)
{
    std::vector<std::int64_t> sums;
    std::int64_t sum = 0;
    for (const Entry &entry : entries)
        sums.push_back(sum += entry.weight);
    return sums;
}

std::size_t pick(const std::vector<std::int64_t> &sums, core::RandomSource &random)
{
    const auto point =
        static_cast<std::int64_t>(nextFraction(random) * static_cast<double>(sums.back()));
    return static_cast<std::size_t>(std::upper_bound(sums.begin(), sums.end(), point)
                                    - sums.begin());
}

} // namespace

std::vector<Arrival> makeArrivals(const config::LoadGeneratorSettings &settings)
{
    core::SeededRandomSource random(static_cast<std::uint64_t>(settings.seed));
    const auto organisations = sumWeights(settings.organisations);
    const auto models = sumWeights(settings.models);
    const double meanGap = kMicrosecondsPerMinute / static_cast<double>(settings.requestsPerMinute);
    const auto end = std::chrono::duration<double, std::micro>(settings.duration).count();
    std::vector<Arrival> arrivals;
    double time = 0;
    while (arrivals.size() < static_cast<std::size_t>(settings.maxRequests)) {
        time -= std::log1p(-nextFraction(random)) * meanGap;
        if (time >= end)
            break;
        arrivals.push_back({std::chrono::microseconds(static_cast<std::int64_t>(time)),
                            pick(organisations, random), pick(models, random)});
    }
    return arrivals;
}

} // namespace boragerack::cli
