// Measures cold starts and idle loaded models of the placement policies in virtual time, and the
// processing time of the planner's decisions. Usage: ColdStartBench [cascadia|tegelkleur|scale]
// [seed]
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <string>

#include "PlacementSimulation.h"
#include "PlacementTestCharts.h"
#include "PlannerScaling.h"
#include "boragerack/decisions/LeastRecentlyUsedPolicy.h"
#include "boragerack/decisions/WarmestCheckpointPolicy.h"

using namespace boragerack;
using namespace boragerack::decisions;
using std::chrono::seconds;

namespace {

constexpr std::chrono::hours kSimulatedTime(6);
constexpr double kMemoryMiBPerSecond = 10000;
constexpr double kDiskMiBPerSecond = 2500;

struct Deployment
{
    std::string name;
    unsigned models = 0;
    unsigned adapters = 0;
    /// Accelerator memory, memory cache and disk cache in GiB, assigned to the targets in rotation.
    std::vector<std::array<std::uint64_t, 3>> targetGiB;
    unsigned targets = 0;
    WeightStoreLimits store;
    std::uint64_t smallestMiB = 0;
    std::uint64_t largestMiB = 0;
    /// Throughput of one stream of the weight store.
    double remoteMiBPerSecond = 0;
    double arrivalsPerSecond = 0;
};

Deployment makeDeployment(const std::string &name)
{
    if (name == "cascadia") {
        return {name,  50,   55,  {{80, 16, 120}, {48, 8, 60}, {24, 0, 0}}, 9, {3, 4, 32}, 6000,
                24000, 1000, 0.10};
    }
    return {name,  105,  100, {{48, 16, 80}, {24, 8, 40}, {16, 0, 0}}, 18, {15, 4, 32}, 3000,
            12000, 1000, 0.25};
}

struct Arrival
{
    core::Duration at = {};
    Artifact artifact;
    core::Duration serviceTime = {};
};

double uniform(core::RandomSource &random)
{
    return static_cast<double>(random.next() >> 11) / static_cast<double>(1ULL << 53);
}

std::vector<CatalogueEntry> makeCatalogue(const Deployment &deployment, core::RandomSource &random)
{
    std::vector<CatalogueEntry> catalogue;
    for (unsigned i = 0; i < deployment.models; ++i) {
        const std::uint64_t range = deployment.largestMiB - deployment.smallestMiB;
        catalogue.push_back({{core::ModelId {"m" + std::to_string(i)}, "1", {}},
                             deployment.smallestMiB + random.next() % range});
    }
    for (unsigned i = 0; i < deployment.adapters; ++i) {
        // The cube skews the choice, so that a few models have most adapters.
        const auto base = static_cast<std::size_t>(std::pow(uniform(random), 3)
                                                   * static_cast<double>(deployment.models));
        Artifact artifact = catalogue[base].artifact;
        artifact.adapter = core::AdapterId {"a" + std::to_string(i)};
        catalogue.push_back({artifact, 100 + random.next() % 200});
    }
    return catalogue;
}

/// Poisson arrivals with Zipf-like popularity, each a burst of 1 to 7 requests within 50 ms. Every
/// ten minutes, eight uniformly chosen artifacts are also requested within two seconds.
std::vector<Arrival> makeArrivals(const Deployment &deployment,
                                  const std::vector<CatalogueEntry> &catalogue,
                                  core::RandomSource &random)
{
    std::vector<std::size_t> order(catalogue.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    for (std::size_t i = order.size(); i > 1; --i)
        std::swap(order[i - 1], order[random.next() % i]);
    std::vector<double> cumulative;
    double sum = 0;
    for (std::size_t i = 0; i < order.size(); ++i)
        cumulative.push_back(sum += 1 / static_cast<double>(i + 1));

    std::vector<Arrival> arrivals;
    const auto add = [&](double second, const Artifact &artifact) {
        const auto count = 1 + random.next() % 7;
        for (std::uint64_t i = 0; i < count; ++i) {
            const double at = second + 0.05 * uniform(random);
            const double serviceTime = 0.5 - 6 * std::log(1 - uniform(random));
            arrivals.push_back({std::chrono::microseconds(static_cast<long>(at * 1e6)), artifact,
                                std::chrono::microseconds(static_cast<long>(serviceTime * 1e6))});
        }
    };
    const double end = std::chrono::duration<double>(kSimulatedTime).count();
    for (double time = 0; time < end;
         time -= std::log(1 - uniform(random)) / deployment.arrivalsPerSecond) {
        const double point = uniform(random) * sum;
        const auto rank = static_cast<std::size_t>(
            std::lower_bound(cumulative.begin(), cumulative.end(), point) - cumulative.begin());
        add(time, catalogue[order[rank]].artifact);
    }
    for (double time = 300; time < end; time += 600) {
        for (int i = 0; i < 8; ++i)
            add(time + 2 * uniform(random), catalogue[random.next() % catalogue.size()].artifact);
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
    return arrivals;
}

/// The weight store is three times slower for ten minutes of every forty.
bool isStoreSlow(core::TimePoint now)
{
    return now.time_since_epoch() % std::chrono::minutes(40) >= std::chrono::minutes(30);
}

struct Result
{
    std::vector<double> coldSeconds;
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t loads = 0;
    double idleHours = 0;
};

Result runPolicy(const Deployment &deployment, std::uint64_t seed,
                 std::function<std::unique_ptr<PlacementPolicy>()> makePolicy)
{
    core::SeededRandomSource random(seed);
    PlacementSimulation::Settings settings;
    settings.catalogue = makeCatalogue(deployment, random);
    const std::vector<Arrival> arrivals = makeArrivals(deployment, settings.catalogue, random);
    for (unsigned i = 0; i < deployment.targets; ++i) {
        const auto &size = deployment.targetGiB[i % deployment.targetGiB.size()];
        settings.engines.push_back({core::TargetId {"t" + std::to_string(i)}, size[0] * 1024,
                                    i % 2 == 0, size[1] * 1024, size[2] * 1024});
    }
    settings.seed = seed;
    settings.planner.weightStore = deployment.store;
    settings.makePolicy = std::move(makePolicy);
    PlacementSimulation *simulation = nullptr;
    settings.loadTime = [&](CheckpointTier tier, const Artifact &artifact, std::uint64_t memoryMiB,
                            unsigned count) -> core::Duration {
        if (artifact.isAdapter())
            return std::chrono::microseconds(8000 * std::max(32U, count) / 32);
        const double slowdown = isStoreSlow(simulation->now()) ? 3 : 1;
        const double share = std::max(4.0, static_cast<double>(count)) / 4;
        const double rate = tier == CheckpointTier::Memory ? kMemoryMiBPerSecond
            : tier == CheckpointTier::Disk                 ? kDiskMiBPerSecond
                                           : deployment.remoteMiBPerSecond / slowdown / share;
        const double time = 0.3 + static_cast<double>(memoryMiB) / rate;
        return std::chrono::microseconds(static_cast<long>(time * 1e6));
    };
    PlacementSimulation fleet(std::move(settings), loadPlacementCharts());
    simulation = &fleet;
    fleet.setPlanner(0, true);
    fleet.runUntil(fleet.now() + seconds(2));

    Result result;
    const core::TimePoint start = fleet.now();
    const core::InstanceId node {"node"};
    std::map<std::pair<core::TargetId, Artifact>, std::uint32_t> inFlight;
    const auto isBusy = [&inFlight](const Artifact &artifact, const core::TargetId &target) {
        const auto use = inFlight.find({target, artifact});
        return use != inFlight.end() && use->second > 0;
    };
    fleet.isBusy = isBusy;
    fleet.onAnswer = [&](std::size_t, const ColdStartAnswered &answer) {
        const Arrival &arrival = arrivals[answer.request];
        ++result.requests;
        if (!core::isOk(answer.outcome)) {
            ++result.refused;
            return;
        }
        const core::Duration waited = fleet.now() - (start + arrival.at);
        if (waited > core::Duration::zero())
            result.coldSeconds.push_back(std::chrono::duration<double>(waited).count());
        const core::TargetId target = core::valueOf(answer.outcome);
        const auto report = [&fleet, &inFlight, &node, target,
                             artifact = arrival.artifact](int by) {
            std::uint32_t &count = inFlight[{target, artifact}];
            count = static_cast<std::uint32_t>(static_cast<int>(count) + by);
            fleet.send(0, ReplicaUsed {node, artifact, target, count});
        };
        fleet.at(fleet.now(), [report] { report(1); });
        fleet.at(fleet.now() + arrival.serviceTime, [report] { report(-1); });
    };
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        fleet.at(start + arrivals[i].at, [&fleet, &arrivals, &node, i] {
            fleet.send(
                0, ColdStartRequested {node, i, arrivals[i].artifact, fleet.now() + seconds(180)});
        });
    }
    for (core::TimePoint time = start; time < start + kSimulatedTime; time += seconds(1)) {
        fleet.runUntil(time);
        for (const FakeEngine &engine : fleet.engines()) {
            const auto &loaded = engine.loaded();
            for (const LoadedWeights &weights : loaded) {
                const bool isUsed =
                    std::any_of(loaded.begin(), loaded.end(), [&](const LoadedWeights &each) {
                        return each.artifact.base() == weights.artifact
                            && isBusy(each.artifact, engine.settings().target);
                    });
                if (!weights.artifact.isAdapter() && weights.state == WeightsState::Ready
                    && !isUsed)
                    result.idleHours += 1.0 / 3600;
            }
        }
    }
    result.loads = fleet.loads();
    for (const std::string &violation : fleet.violations())
        std::printf("VIOLATION %s\n", violation.c_str());
    return result;
}

void printResult(const std::string &name, Result result)
{
    std::vector<double> &cold = result.coldSeconds;
    std::sort(cold.begin(), cold.end());
    const auto quantile = [&cold](double share) {
        return cold.empty()
            ? 0.0
            : cold[static_cast<std::size_t>(share * static_cast<double>(cold.size() - 1))];
    };
    const auto slowest = static_cast<std::size_t>(static_cast<double>(result.requests) * 0.01);
    const double p99OfAll = cold.size() > slowest ? cold[cold.size() - 1 - slowest] : 0.0;
    std::printf("%-16s %8zu %7zu %7zu %7.2f %7.2f %7.2f %7.2f %9.1f %7zu\n", name.c_str(),
                result.requests, cold.size(), result.refused, quantile(0.5), quantile(0.99),
                quantile(1), p99OfAll, result.idleHours, result.loads);
}

void runDeployment(const std::string &name, std::uint64_t seed)
{
    const Deployment deployment = makeDeployment(name);
    std::printf("%s, %ld h, seed %llu\n%-16s %8s %7s %7s %7s %7s %7s %7s %9s %7s\n", name.c_str(),
                static_cast<long>(kSimulatedTime.count()), static_cast<unsigned long long>(seed),
                "policy", "requests", "waited", "refused", "p50 s", "p99 s", "max s", "all p99",
                "idle h", "loads");
    for (const int minutes : {2, 15, 1000}) {
        printResult(
            "lru " + std::to_string(minutes) + " min", runPolicy(deployment, seed, [minutes] {
                return std::make_unique<LeastRecentlyUsedPolicy>(std::chrono::minutes(minutes));
            }));
    }
    printResult("warmest", runPolicy(deployment, seed, [] {
                    return std::make_unique<WarmestCheckpointPolicy>(
                        WarmestCheckpointPolicy::Settings {});
                }));
}

} // namespace

int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "all";
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    for (const std::string name : {"cascadia", "tegelkleur"}) {
        if (mode == name || mode == "all")
            runDeployment(name, seed);
    }
    if (mode == "scale" || mode == "all")
        bench::runPlannerScaling(loadPlacementCharts());
}
