#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "BudgetScenario.h"
#include "boragerack/decisions/EqualSplitPolicy.h"
#include "boragerack/decisions/SingleOwnerPolicy.h"

namespace decisions = boragerack::decisions;
using namespace boragerack::decisions::testing;

namespace {

constexpr std::int64_t kDuration = 150 * kSecond;
constexpr std::uint64_t kSeeds = 40;

/// Number of seeds for which the checker sees an excess.
int countFailures(const decisions::BudgetFaults &faults)
{
    const decisions::MultipleOwnersPolicy policy;
    int failures = 0;
    std::int64_t worst = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const auto result = BudgetScenario(seed, faults, policy).run(kDuration);
        failures += result.worstExcess > 0 ? 1 : 0;
        worst = std::max(worst, result.worstExcess);
    }
    BOOST_TEST_MESSAGE("excess in " << failures << " of " << kSeeds << " seeds, worst "
                                    << static_cast<double>(worst) * 1e-9 << " tokens");
    return failures;
}

} // namespace

// Guards against spending above burst + rate x window under loss, duplication, reordering, pauses,
// deaths, changes of owner and outages.
BOOST_AUTO_TEST_CASE(fleetNeverExceedsLimit)
{
    const decisions::MultipleOwnersPolicy policy;
    BOOST_TEST(rc::check([&policy](std::uint64_t seed) {
        const auto result = BudgetScenario(seed, {}, policy).run(kDuration);
        RC_ASSERT(result.worstExcess <= 0);
        RC_ASSERT(result.overdueTimers == 0U);
        // An idle fleet would pass the check without showing anything.
        RC_ASSERT(result.spent > 50'000);
    }));
}

// Guards against a baseline that would win the comparison of policies by exceeding the limit.
BOOST_AUTO_TEST_CASE(otherPoliciesNeverExceedLimit)
{
    std::vector<boragerack::core::InstanceId> instances;
    for (int i = 0; i < 5; ++i)
        instances.push_back({"node-" + std::to_string(i)});
    const decisions::EqualSplitPolicy equalSplit(instances);
    const decisions::SingleOwnerPolicy singleOwner;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST(BudgetScenario(seed, {}, equalSplit).run(kDuration).worstExcess <= 0);
        BOOST_TEST(BudgetScenario(seed, {}, singleOwner).run(kDuration).worstExcess <= 0);
    }
}

// Switches one mechanism off. Guards against a checker or a scenario too weak to notice an excess.
BOOST_AUTO_TEST_CASE(noticesRepeatedGrantAccepted)
{
    BOOST_TEST(countFailures({.acceptRepeatedGrants = true}) > 0);
}

// Guards against a start at which every node writes the table again after every write of another.
BOOST_AUTO_TEST_CASE(startNeedsFewTableWrites)
{
    const decisions::MultipleOwnersPolicy policy;
    FleetOptions options;
    options.nodes = 60;
    options.ownersAtStart = false;
    BudgetSimulation fleet(options, policy, loadShareChart());
    fleet.time.runUntil(10 * kSecond);
    BOOST_TEST_MESSAGE(fleet.platform.writes << " table writes");
    BOOST_TEST(fleet.platform.owners.size() == 512U);
    BOOST_TEST(fleet.platform.writes < 5 * options.nodes);
}
