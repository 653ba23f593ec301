#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "AdversarialBorrowerSimulation.h"
#include "BudgetScenario.h"

namespace decisions = boragerack::decisions;
using namespace boragerack::decisions::testing;

namespace {

constexpr std::int64_t kDuration = 120 * kSecond;

int countSeedsWithExcess(const decisions::BudgetFaults &faults)
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

// Guards against a share that lets a borrower exceed the limit by the timing of its requests,
// spending, returns and settlements, across restarts of the holder.
BOOST_AUTO_TEST_CASE(adversarialBorrowerNeverExceedsShare)
{
    const auto chart = loadShareChart();
    BOOST_TEST(rc::check([&chart](std::uint64_t seed) {
        AdversarialBorrowerSimulation share(seed, {}, chart);
        RC_ASSERT(share.run(kDuration) <= 0);
        RC_ASSERT(share.spent() > 20'000);
    }));
}

// Each of the following cases disables one mechanism and guards against a check that does not
// detect its absence. ShareBucketTest and ShareTableTest do so for the other mechanisms.
BOOST_AUTO_TEST_CASE(detectsNewOwnerStartingFull)
{
    BOOST_TEST(countSeedsWithExcess({.startFull = true}) > 0);
}

BOOST_AUTO_TEST_CASE(detectsAccrualDespiteOutstandingPortions)
{
    BOOST_TEST(countSeedsWithExcess({.ignoreOutstanding = true}) > 0);
}
