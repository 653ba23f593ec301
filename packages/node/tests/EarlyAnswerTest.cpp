#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "FleetFixture.h"
#include "boragerack/standins/RawHttpServer.h"

using namespace boragerack::node::tests;
using namespace std::chrono_literals;
namespace core = boragerack::core;
namespace json = boost::json;
namespace runtime = boragerack::runtime;
using boragerack::standins::RawHttpServer;

namespace {

struct EarlyAnswerFixture : FleetFixture
{
    EarlyAnswerFixture()
        : server([this](const std::string &) {
            return RawHttpServer::Answer {answer, resetAfter};
        })
    {
        post(platform().address(), "/control/instances",
             json::serialize(json::object {{"instance", "yard-1"},
                                           {"address", server.address()},
                                           {"dataCentre", "pnw-s"},
                                           {"region", "pnw"},
                                           {"kind", "service"},
                                           {"service", "yardbook"},
                                           {"state", "live"}}));
        startNodes(1);
    }

    std::string answer;
    std::optional<std::chrono::milliseconds> resetAfter;
    RawHttpServer server;
};

} // namespace

// Guards against a part of an answer that its caller gets as a complete one, because the target
// reset the connection while the upload was being written (issue 46, MIXED).
BOOST_FIXTURE_TEST_CASE(resetDuringAnUploadIsNoCompleteAnswer, EarlyAnswerFixture)
{
    answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe beginning";
    int number = 0;
    for (const std::size_t bytes : {1500000U, 2800000U, 4100000U}) {
        for (int delay = 0; delay <= 30; delay += 10) {
            resetAfter = std::chrono::milliseconds(delay);
            const auto result =
                postHold(0, "early-" + std::to_string(++number), std::string(bytes, 'u'));
            BOOST_TEST((!core::isOk(result) || core::valueOf(result).status >= 500U),
                       bytes << " bytes, reset after " << delay << " ms");
        }
    }
}

// Guards against a status that is none, which its caller gets as an answer, or for which it waits
// until its deadline (issue 46, MIXED).
BOOST_FIXTURE_TEST_CASE(invalidStatusIsAnsweredAtOnce, EarlyAnswerFixture)
{
    answer = "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok";
    // The first request waits until the node owns shares of the budget.
    postHold(0, "zero-0", "{}");
    const auto begin = std::chrono::steady_clock::now();
    const auto result = postHold(0, "zero-1", "{}");
    BOOST_REQUIRE(core::isOk(result));
    BOOST_TEST(core::valueOf(result).status >= 500U);
    BOOST_TEST(errorMember(core::valueOf(result), "verdict") == "may_have_run");
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 1s));
}
