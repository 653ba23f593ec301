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

/// Number of seeds for which the recorder reports an excess.
int countSeedsWithExcess(const decisions::BudgetFaults &faults)
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

// Guards against spending above burst + rate x window under message loss, duplication, reordering,
// pauses, crashes, changes of owner and platform outages.
BOOST_AUTO_TEST_CASE(fleetNeverExceedsLimit)
{
    const decisions::MultipleOwnersPolicy policy;
    BOOST_TEST(rc::check([&policy](std::uint64_t seed) {
        const auto result = BudgetScenario(seed, {}, policy).run(kDuration);
        RC_ASSERT(result.worstExcess <= 0);
        RC_ASSERT(result.overdueTimers == 0U);
        // Without enough spending the limit check would pass trivially.
        RC_ASSERT(result.spent > 50'000);
    }));
}

// Guards against a baseline policy that looks better in the policy comparison because it exceeds
// the limit.
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

// Disables one mechanism. Guards against a check or a scenario too weak to detect an excess.
BOOST_AUTO_TEST_CASE(detectsAcceptedRepeatedGrant)
{
    BOOST_TEST(countSeedsWithExcess({.acceptRepeatedGrants = true}) > 0);
}

// Guards against a fleet start at which each write of one node makes every other node retry its
// write.
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
