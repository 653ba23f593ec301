#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

#include "FleetKnowledgeModel.h"

namespace boragerack::decisions::testing {

namespace {

/// Depth of the exploration in CI; BORAGERACK_MODEL_STEPS sets another one.
constexpr std::size_t kSteps = 9;
/// Depth at which the exploration must have found each fault.
constexpr std::size_t kFaultSteps = 10;

std::size_t maxSteps()
{
    const char *steps = std::getenv("BORAGERACK_MODEL_STEPS");
    return steps ? std::stoul(steps) : kSteps;
}

std::string findViolation(KnowledgeModelSettings settings)
{
    settings.maxSteps = kFaultSteps;
    const KnowledgeModelResult result = exploreKnowledgeModel(settings);
    BOOST_TEST_MESSAGE(result.states << " states, " << result.steps
                                     << " steps: " << result.violation);
    return result.violation.substr(0, result.violation.find(';'));
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetKnowledgeModelTest)

// Guards against an order of reads, reports, answers and changes of the coordinator or relay after
// which a node uses a target that left, or never follows the coordinator again.
BOOST_AUTO_TEST_CASE(noOrderOfEventsBringsALeftTargetBack)
{
    const KnowledgeModelResult result = exploreKnowledgeModel({.maxSteps = maxSteps()});
    BOOST_TEST_MESSAGE(result.states << " states, " << result.steps << " steps");
    BOOST_TEST(result.violation == "");
    BOOST_TEST(result.states > 1000U);
}

// The exploration must detect the faults of review/6, review/8 and issue 50; otherwise its pass on
// the product's code proves nothing.
BOOST_AUTO_TEST_CASE(explorationDetectsEachMissingCheck)
{
    BOOST_TEST(findViolation({.confirmsWithoutState = true})
               == "an outdated list of targets is used");
    BOOST_TEST(findViolation({.adoptsAnyUpdate = true})
               == "the placements of the follower differ for good");
    BOOST_TEST(findViolation({.datesAnswersByTheirCall = true})
               == "an outdated list of targets is used");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
