#include <boost/test/unit_test.hpp>

#include <filesystem>

#include "boragerack/charts/ChartParser.h"

namespace charts = boragerack::charts;
namespace core = boragerack::core;

namespace {

std::string errorMessage(std::string_view json)
{
    const auto result = charts::parseChart(json);
    return core::isOk(result) ? "" : core::errorOf(result).message;
}

} // namespace

// Guards against shipping a chart file that the programs reject at start-up.
BOOST_AUTO_TEST_CASE(everyShippedChartIsValid)
{
    std::size_t count = 0;
    for (const auto &entry : std::filesystem::directory_iterator(BORAGERACK_CHARTS_DIR)) {
        if (entry.path().extension() != ".json")
            continue;
        const auto chart = charts::loadChart(BORAGERACK_CHARTS_DIR, entry.path().stem().string());
        BOOST_TEST(core::isOk(chart), entry.path());
        ++count;
    }
    BOOST_TEST(count > 0U);
}

// Guards against a mistake in a chart that would leave an instance stuck in a state at run time.
BOOST_AUTO_TEST_CASE(invalidChartsAreRejected)
{
    BOOST_TEST(errorMessage(R"({"name":"c","initial":"a","states":{"b":{"final":true}}})")
               == "chart c: initial state \"a\" does not exist");
    BOOST_TEST(errorMessage(R"({"name":"c","initial":"a","states":{"a":{"on":{"e":{"to":"x"}}}}})")
               == "chart c: event \"e\" of state \"a\" leads to unknown state \"x\"");
    BOOST_TEST(errorMessage(R"({"name":"c","initial":"a","states":{"a":{}}})")
               == "chart c: state \"a\" has no exit");
    BOOST_TEST(errorMessage(
                   R"({"name":"c","initial":"a","states":{"a":{"final":true},"b":{"final":true}}})")
               == "chart c: state \"b\" cannot be reached");
    BOOST_TEST(!errorMessage("{").empty());
}
