#include <boost/test/unit_test.hpp>

#include <limits>

#include "ProcessIncarnation.h"
#include "boragerack/core/StoreVersion.h"

namespace boragerack::gateway::testing {

BOOST_AUTO_TEST_SUITE(ProcessIncarnationTest)

// Guards against a restarted process whose messages are rejected as those of an earlier one,
// because the platform's store was restored in between and gives out lower revisions.
BOOST_AUTO_TEST_CASE(processStartedAfterARestoreHasAHigherIncarnation)
{
    constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();
    constexpr std::uint64_t kLastEra = 4095;
    for (const std::uint64_t era : {std::uint64_t(1), std::uint64_t(300), kLastEra})
        BOOST_TEST(makeIncarnation(core::toVersionNumber({era - 1, 1'000'000'000}), kLargest)
                   < makeIncarnation(core::toVersionNumber({era, 10}), 0));
    BOOST_TEST(makeIncarnation(core::toVersionNumber({1, 10}), kLargest)
               < makeIncarnation(core::toVersionNumber({1, 11}), 0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::gateway::testing
