#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

#include <rapidcheck.h>

#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/ReplicaSelector.h"
#include "boragerack/decisions/TargetHealth.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kTargets = 18;
constexpr std::uint32_t kNodes = 6;

/// Mean work queued on the selected target when a request arrives, in requests. Six nodes share 18
/// targets at 80% load. Every third target has half the speed, so that random selection overloads
/// it. Reports are up to 20 steps old.
double measureQueuedWork(const ReplicaSelector &selector)
{
    core::SeededRandomSource random(11);
    std::vector<double> work(kTargets, 0);
    std::vector<std::vector<ReplicaCandidate>> views(kNodes);
    for (auto &view : views) {
        for (std::uint32_t target = 0; target < kTargets; ++target)
            view.push_back(ReplicaCandidate {
                {std::to_string(target)}, 0, 0, target % 3 == 0 ? 0.5 : 1.0, false, false, false});
    }
    const double capacity = 15.0 * 0.1;
    double arrivals = 0;
    double queuedWork = 0;
    std::uint32_t count = 0;
    for (int step = 0; step < 20000; ++step) {
        for (std::uint32_t target = 0; target < kTargets; ++target)
            work[target] = std::max(0.0, work[target] - 0.1 * views[0][target].speed);
        if (step % 20 == 0) {
            for (auto &view : views) {
                for (std::uint32_t target = 0; target < kTargets; ++target) {
                    view[target].reported = static_cast<std::uint32_t>(std::ceil(work[target]));
                    view[target].outstanding = 0;
                }
            }
        }
        for (arrivals += 0.8 * capacity; arrivals >= 1; --arrivals) {
            auto &view = views[random.next() % kNodes];
            const auto target = std::stoul(selector.choose(view, {})->value);
            // The node counts the requests it has sent since the report.
            view[target].outstanding =
                std::max(view[target].outstanding, view[target].reported) + 1;
            queuedWork += work[target];
            work[target] += 1;
            ++count;
        }
    }
    return queuedWork / count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaSelectorTest)

// Guards against selecting a leaving replica, and a suspected, unreachable or failed one while a
// better one is available.
BOOST_AUTO_TEST_CASE(selectionFollowsOrderOfPreference)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        core::SeededRandomSource random(seed);
        std::vector<ReplicaCandidate> replicas;
        std::vector<core::TargetId> avoid;
        const auto count = random.next() % 6;
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto bits = random.next();
            replicas.push_back(ReplicaCandidate {{std::to_string(i)},
                                                 static_cast<std::uint32_t>(bits >> 8 & 7),
                                                 0,
                                                 1,
                                                 (bits & 3) == 0,
                                                 (bits & 12) == 0,
                                                 (bits & 48) == 0});
            if ((bits & 192) == 0)
                avoid.push_back(replicas.back().target);
        }
        const auto rank = [&](const ReplicaCandidate &replica) {
            return std::tuple(replica.isLeaving, replica.isSuspected || replica.isUnreachable,
                              std::ranges::find(avoid, replica.target) != avoid.end());
        };
        const auto chosen = PowerOfTwoSelector(random).choose(replicas, avoid);
        const bool isAnyEligible = std::ranges::any_of(
            replicas, [](const ReplicaCandidate &replica) { return !replica.isLeaving; });
        RC_ASSERT(chosen.has_value() == isAnyEligible);
        if (!chosen)
            return;
        const auto &replica = replicas[std::stoul(chosen->value)];
        for (const ReplicaCandidate &other : replicas)
            RC_ASSERT(rank(replica) <= rank(other));
    });
    BOOST_TEST(passed);
}

// Guards against a selection that is no better than random, and against all nodes selecting the
// same target because of the same outdated report.
BOOST_AUTO_TEST_CASE(powerOfTwoFindsLessWorkThanBaselines)
{
    core::SeededRandomSource random(5);
    const double powerOfTwo = measureQueuedWork(PowerOfTwoSelector(random));
    const double any = measureQueuedWork(RandomSelector(random));
    const double least = measureQueuedWork(LeastWorkSelector());
    BOOST_TEST_MESSAGE("mean work on the selected target, in requests: power of two "
                       << powerOfTwo << ", random " << any << ", least work " << least);
    BOOST_TEST(powerOfTwo < any);
    BOOST_TEST(powerOfTwo < least);
}

// Guards against routing to a target that one source reports as leaving, and against excluding an
// unreachable target permanently.
BOOST_AUTO_TEST_CASE(healthCombinesReportsAndInstanceList)
{
    const core::TimePoint start {};
    const core::TargetId target {"t"};
    TargetHealth health;
    health.handle(health::Reported {target, true}, start);
    health.handle(health::Listed {target, false}, start);
    health.handle(health::Reported {target, false}, start);
    BOOST_TEST(health.isLeaving(target));
    health.handle(health::Unreachable {target}, start);
    BOOST_TEST(health.isUnreachable(target, start + 4s));
    BOOST_TEST(!health.isUnreachable(target, start + 5s));
    health.handle(health::Reported {target, false}, start + 1s);
    BOOST_TEST(!health.isUnreachable(target, start + 1s));
    health.handle(health::Removed {target}, start);
    BOOST_TEST(!health.isLeaving(target));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
