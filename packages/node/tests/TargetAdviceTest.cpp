#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <boost/json/object.hpp>

#include "FleetFixture.h"
#include "TargetAdviceHeaders.h"

namespace boragerack::node::tests {

namespace {

using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(TargetAdviceTest)

// Guards against a target that gets more requests from all nodes together than it accepts.
BOOST_AUTO_TEST_CASE(nodesTogetherStayWithinTheRequestRateOfAService)
{
    constexpr int kRate = 2;
    constexpr int kAllowedInFourSeconds = kRate * 4 * 3 / 2 + 5;
    FleetFixture fleet;
    fleet.startNodes(2);
    fleet.post(fleet.service().address(), "/control/faults",
               R"({"rateLimit":)" + std::to_string(kRate) + "}");
    // The nodes get the rate from their first responses.
    const auto sendFor = [&](std::chrono::milliseconds time) {
        const auto end = std::chrono::steady_clock::now() + time;
        int served = 0;
        for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
            const auto response =
                fleet.send(fleet.node(i % 2).address(), "GET", "/services/yardbook/stock", "");
            BOOST_REQUIRE(core::isOk(response));
            const unsigned status = core::valueOf(response).status;
            BOOST_TEST((status == 200U || status == 503U));
            served += status == 200U ? 1 : 0;
            boost::this_fiber::sleep_for(20ms);
        }
        return served;
    };
    sendFor(1s);
    const int served = sendFor(4s);
    BOOST_TEST(served <= kAllowedInFourSeconds);
    BOOST_TEST(served >= kRate * 4 / 2);
}

// Guards against a stop, a pause or a rate that is not understood, and against values that are
// taken although they are malformed.
BOOST_AUTO_TEST_CASE(adviceIsReadFromTheHeaders)
{
    const auto parse = [](unsigned status, std::vector<runtime::HttpHeader> headers) {
        return parseTargetAdvice({status, std::move(headers)});
    };
    BOOST_TEST((parse(200, {}) == decisions::TargetAdvice()));
    BOOST_TEST(parse(200, {{"x-rate-limit", "0.5"}}).requestsPerSecond.value() == 0.5);
    for (const char *text : {"-1", "nan", "inf", "1x", ""})
        BOOST_TEST(!parse(200, {{"X-Rate-Limit", text}}).requestsPerSecond.has_value());
    BOOST_TEST((parse(503, {{"Retry-After", "1.5"}}).pause == 1500ms));
    BOOST_TEST((parse(503, {{"Retry-After", "1e9"}}).pause == 10min));
    BOOST_TEST((parse(200, {{"Retry-After", "1.5"}}).pause == 0ms));
    BOOST_TEST((parse(200, {{"X-Leaving", "1"}}).pause > 5s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::node::tests
