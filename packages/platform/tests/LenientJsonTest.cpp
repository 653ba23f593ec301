#include <boost/test/unit_test.hpp>

#include <string>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "boragerack/platform/LenientJson.h"

namespace boragerack::platform::tests {

namespace {

constexpr int kListLevels = 3;

std::string nested(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '[')
        + std::string(static_cast<std::size_t>(depth), ']');
}

std::string parse(const std::string &text, int levels = kListLevels)
{
    return boost::json::serialize(parseLenient(text, levels));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LenientJsonTest)

// Guards against one entry that makes a whole list unreadable.
BOOST_AUTO_TEST_CASE(unreadableValueLeavesTheOthersReadable)
{
    const std::string good = R"({"name":"g","spec":{"n":1}})";
    for (const std::string &odd : {nested(40), nested(1'000'000), std::string("1e2147483648"),
                                   std::string("{\"a\":nul}"), std::string("\"\x01\"")}) {
        const std::string text = "{ \"items\" : [ " + good + " , {\"name\":\"o\",\"spec\":" + odd
            + "} ], \"truncated\":false}";
        BOOST_TEST(parse(text)
                   == "{\"items\":[" + good + R"(,{"name":"o","spec":null}],"truncated":false})");
    }
}

// Guards against brackets and commas in strings that end a value too early.
BOOST_AUTO_TEST_CASE(stringsHideTheirBrackets)
{
    BOOST_TEST(parse(R"({"a":["}],\"{","x"],"b":1e2147483648})")
               == R"({"a":["}],\"{","x"],"b":null})");
}

// Guards against an incomplete response that is taken for a shorter one.
BOOST_AUTO_TEST_CASE(incompleteTextIsNull)
{
    for (const char *text : {"", "{", "{\"items\":[1,2", "{\"items\":[1,{\"a\":1}]", "[1,]", "[1}",
                             "{\"a\"}", "nonsense", "\"open"})
        BOOST_TEST(parse(text) == "null");
    BOOST_TEST(parse("[1,1e2147483648]", 0) == "null");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::platform::tests
