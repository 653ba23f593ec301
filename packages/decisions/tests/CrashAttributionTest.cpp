#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "boragerack/decisions/CrashAttribution.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kStart(1h);

std::vector<CrashSuspect> suspectsOf(const std::string &body, std::vector<std::string> parts,
                                     const std::string &organisation = "tegel")
{
    return makeCrashSuspects({{organisation}, "/v1/completions", body, std::move(parts)});
}

bool hasPart(const std::vector<CrashSuspect> &suspects)
{
    return std::ranges::any_of(suspects, &CrashSuspect::isPart);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashAttributionTest)

// Guards against a suspect that only one of two requests with the same part has.
BOOST_AUTO_TEST_CASE(requestsShareOnlyTheSuspectsOfTheirParts)
{
    const auto first = suspectsOf("one", {"a"});
    const auto second = suspectsOf("two", {"a"});
    const auto other = suspectsOf("one", {"a"}, "leien");
    BOOST_TEST_REQUIRE(first.size() == 3U);
    BOOST_TEST((first[0].fingerprint != second[0].fingerprint));
    BOOST_TEST((first[1].fingerprint == second[1].fingerprint));
    BOOST_TEST((first[1].origin != second[1].origin));
    BOOST_TEST((first[1].fingerprint != other[1].fingerprint));
    BOOST_TEST((first[2].fingerprint == other[2].fingerprint));
    BOOST_TEST((first[2].origin == second[2].origin));
    BOOST_TEST((first[2].origin != other[2].origin));
}

// Guards against the suspicion of a part that most requests share, when they fail beside the cause.
BOOST_AUTO_TEST_CASE(partOfACompleteAnswerIsNotSuspected)
{
    CrashAttribution attribution;
    attribution.handleCompletion(suspectsOf("one", {"shared"}), kStart);
    const auto reported =
        attribution.handleCrash(suspectsOf("two", {"shared", "cause"}), kStart + 1s);
    BOOST_TEST_REQUIRE(reported.size() == 3U);
    BOOST_TEST((reported[0].fingerprint == suspectsOf("two", {})[0].fingerprint));
    BOOST_TEST((reported[1].fingerprint == suspectsOf("", {"cause"})[1].fingerprint));
    BOOST_TEST((reported[2].fingerprint == suspectsOf("", {"cause"})[2].fingerprint));
    BOOST_TEST(!reported[1].wasAnswered);
    const auto later = attribution.handleCrash(suspectsOf("three", {"shared"}), kStart + 3s);
    BOOST_TEST(later.size() == 1U);
}

// Guards against the refusal of all prompts after an outage of all targets.
BOOST_AUTO_TEST_CASE(withoutAnswersToOtherRequestsNoPartIsSuspected)
{
    CrashAttribution attribution;
    BOOST_TEST(!hasPart(attribution.handleCrash(suspectsOf("one", {"a"}), kStart)));
    attribution.handleCompletion(suspectsOf("two", {"a"}), kStart + 1s);
    BOOST_TEST(!hasPart(attribution.handleCrash(suspectsOf("three", {"a"}), kStart + 10s)));
    attribution.handleCompletion(suspectsOf("four", {"b"}), kStart + 11s);
    BOOST_TEST(hasPart(attribution.handleCrash(suspectsOf("five", {"a"}), kStart + 12s)));
}

// Guards against a suspicion that stays after a complete answer.
BOOST_AUTO_TEST_CASE(completionClearsReportedSuspects)
{
    CrashAttribution attribution;
    attribution.handleCompletion(suspectsOf("one", {"b"}), kStart);
    attribution.handleCrash(suspectsOf("two", {"a"}), kStart + 1s);
    BOOST_TEST(attribution.handleCompletion(suspectsOf("three", {"b"}), kStart + 2s).empty());
    BOOST_TEST(attribution.handleCompletion(suspectsOf("four", {"a"}), kStart + 3s).size() == 2U);
    BOOST_TEST(attribution.handleCompletion(suspectsOf("two", {"a"}), kStart + 4s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
