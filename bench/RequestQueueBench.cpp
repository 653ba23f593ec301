// Measures, in virtual time, the waits of five organisations that stay within their rate while a
// sixth sends eight times its rate, for first come first served and deficit round robin.
// Usage: RequestQueueBench

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../packages/decisions/tests/EventSimulator.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/DeficitRoundRobinPolicy.h"
#include "boragerack/decisions/FirstComeFirstServedPolicy.h"
#include "boragerack/decisions/RequestQueue.h"

namespace core = boragerack::core;
using namespace boragerack::decisions;
using namespace boragerack::decisions::testing;

namespace {

constexpr std::size_t kOrganisations = 6;
constexpr double kRate = 4000; // tokens/s of each organisation
constexpr std::size_t kSlots = 24; // concurrent requests
// Offered load relative to the rate.
constexpr double kHeavyLoad = 8.0;
constexpr double kNormalLoad = 0.9;
constexpr double kMeanTokens = 400;
constexpr double kSlotRate = kRate * kOrganisations / kSlots;
constexpr std::int64_t kDuration = 120 * kSecond;
constexpr std::int64_t kRequestTimeout = 10 * kSecond;

struct Outcome
{
    std::int64_t offered = 0;
    std::int64_t served = 0;
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::vector<double> waitsMs;
};

class Simulation
{
public:
    Simulation(std::unique_ptr<QueuePolicy> policy, const QueueLimits &limits)
        : queue_(std::move(policy), limits)
        , outcomes_(kOrganisations)
    {
    }

    const std::vector<Outcome> &run()
    {
        for (std::size_t i = 0; i < kOrganisations; ++i)
            arrive(i, i == 0 ? kHeavyLoad : kNormalLoad);
        apply(CapacityFreed {kSlots});
        for (std::int64_t t = 0; t < kDuration + kRequestTimeout; t += 10 * kMillisecond)
            time_.at(t, [this] { apply(QueueTimer {}); });
        time_.runUntil(kDuration + kRequestTimeout + kSecond);
        return outcomes_;
    }

private:
    core::TimePoint now() const { return core::TimePoint(std::chrono::nanoseconds(time_.now())); }

    void arrive(std::size_t i, double load)
    {
        const double uniform = (static_cast<double>(random_.next() % 1'000'000) + 1) * 1e-6;
        time_.after(
            static_cast<std::int64_t>(-std::log(uniform) * kMeanTokens / (kRate * load) * 1e9),
            [this, i, load] {
                if (time_.now() >= kDuration)
                    return;
                arrive(i, load);
                submit(i);
            });
    }

    void submit(std::size_t i)
    {
        const std::uint64_t number = arrivals_.size();
        const auto tokens = static_cast<std::int64_t>(100 + random_.next() % 601);
        arrivals_.push_back(time_.now());
        organisations_.push_back(i);
        outcomes_[i].offered += tokens;
        ++outcomes_[i].requests;
        apply(RequestArrived {{number,
                               {std::to_string(i)},
                               tokens,
                               1,
                               now() + std::chrono::nanoseconds(kRequestTimeout)}});
    }

    void apply(const QueueEvent &event)
    {
        for (const QueueAction &action : queue_.handle(event, now())) {
            if (const auto *refused = std::get_if<RefuseRequest>(&action)) {
                ++outcomes_[organisations_[refused->request]].refused;
                continue;
            }
            const QueuedRequest &request = std::get<ServeRequest>(action).request;
            Outcome &outcome = outcomes_[organisations_[request.request]];
            outcome.served += request.tokens;
            outcome.waitsMs.push_back(static_cast<double>(time_.now() - arrivals_[request.request])
                                      * 1e-6);
            time_.after(
                static_cast<std::int64_t>(static_cast<double>(request.tokens) / kSlotRate * 1e9),
                [this] { apply(CapacityFreed {1}); });
        }
    }

    EventSimulator time_;
    core::SeededRandomSource random_ {20261204};
    RequestQueue queue_;
    std::vector<Outcome> outcomes_;
    std::vector<std::int64_t> arrivals_;
    std::vector<std::size_t> organisations_;
};

void printOutcomes(const char *name, const std::vector<Outcome> &outcomes, bool isFirst)
{
    std::vector<double> waits;
    std::size_t requests = 0;
    std::size_t refused = 0;
    double worst = 1;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const Outcome &outcome = outcomes[i];
        // An organisation is entitled to its demand, capped at its rate.
        const double entitled =
            std::min(static_cast<double>(outcome.offered), kRate * kDuration * 1e-9);
        worst = std::min(worst, static_cast<double>(outcome.served) / entitled);
        if (i == 0)
            continue;
        requests += outcome.requests;
        refused += outcome.refused;
        waits.insert(waits.end(), outcome.waitsMs.begin(), outcome.waitsMs.end());
    }
    std::sort(waits.begin(), waits.end());
    const double p99 = waits.empty() ? 0 : waits[waits.size() * 99 / 100];
    const double heavy = static_cast<double>(outcomes[0].served) / (kRate * kDuration * 1e-9);
    if (isFirst)
        std::printf("%-36s %8s %8s %8s %12s %12s\n", "policy", "others", "refused", "p99 ms",
                    "worst served", "heavy served");
    std::printf("%-36s %8zu %8zu %8.1f %12.3f %12.3f\n", name, requests, refused, p99, worst,
                heavy);
    std::printf("{\"policy\":\"%s\",\"othersRequests\":%zu,\"othersRefused\":%zu,"
                "\"othersP99WaitMs\":%.1f,\"worstServed\":%.3f,\"heavyServed\":%.3f}\n",
                name, requests, refused, p99, worst, heavy);
}

} // namespace

int main()
{
    const QueueLimits shared = {1024, 1024};
    const QueueLimits bounded = {256, 1024};
    printOutcomes("first come first served",
                  Simulation(std::make_unique<FirstComeFirstServedPolicy>(), shared).run(), true);
    printOutcomes("first come first served, bounded",
                  Simulation(std::make_unique<FirstComeFirstServedPolicy>(), bounded).run(), false);
    printOutcomes("deficit round robin, bounded",
                  Simulation(std::make_unique<DeficitRoundRobinPolicy>(), bounded).run(), false);
    return 0;
}
