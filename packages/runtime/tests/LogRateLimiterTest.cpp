#include <boost/test/unit_test.hpp>

#include "LogRateLimiter.h"

namespace boragerack::runtime::testing {

BOOST_AUTO_TEST_SUITE(LogRateLimiterTest)

// Guards against a log that grows with the load, and against dropped lines that are not counted.
BOOST_AUTO_TEST_CASE(linesAreBoundedAndCounted)
{
    using namespace std::chrono_literals;
    LogRateLimiter limiter(10, 20);
    const core::TimePoint start(1h);
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += limiter.take(start + std::chrono::milliseconds(i)) ? 1 : 0;
    BOOST_TEST(written >= 20);
    BOOST_TEST(written <= 31);
    BOOST_TEST(limiter.takeDropped(start + 1s) == static_cast<std::uint64_t>(1000 - written));
    BOOST_TEST(limiter.takeDropped(start + 2s) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::runtime::testing
