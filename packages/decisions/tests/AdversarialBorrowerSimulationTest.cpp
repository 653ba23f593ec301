#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "AdversarialBorrowerSimulation.h"
#include "BudgetScenario.h"

namespace decisions = boragerack::decisions;
using namespace boragerack::decisions::testing;

namespace {

constexpr std::int64_t kDuration = 120 * kSecond;

int countFailures(const decisions::BudgetFaults &faults)
{
    constexpr std::uint64_t kSeeds = 50;
    const auto chart = loadShareChart();
    int failures = 0;
    std::int64_t worst = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const std::int64_t excess =
            AdversarialBorrowerSimulation(seed, faults, chart).run(kDuration);
        failures += excess > 0 ? 1 : 0;
        worst = std::max(worst, excess);
    }
    BOOST_TEST_MESSAGE("excess in " << failures << " of " << kSeeds << " seeds, worst "
                                    << static_cast<double>(worst) * 1e-9 << " tokens");
    return failures;
}

} // namespace

// Guards against a share that lets a borrower exceed the limit by asking, spending, returning and
// settling at the worst moments, across restarts of the holder.
BOOST_AUTO_TEST_CASE(greedyBorrowerNeverExceedsShare)
{
    const auto chart = loadShareChart();
    BOOST_TEST(rc::check([&chart](std::uint64_t seed) {
        AdversarialBorrowerSimulation share(seed, {}, chart);
        RC_ASSERT(share.run(kDuration) <= 0);
        RC_ASSERT(share.spent() > 20'000);
    }));
}

// The next cases switch one mechanism off each. They guard against a check that would not notice
// that the mechanism is missing. ShareBucketTest and ShareTableTest do so for the others.
BOOST_AUTO_TEST_CASE(noticesNewOwnerStartingFull)
{
    BOOST_TEST(countFailures({.startFull = true}) > 0);
}

BOOST_AUTO_TEST_CASE(noticesAccrualBesidePortions)
{
    BOOST_TEST(countFailures({.ignoreOutstanding = true}) > 0);
}
