#include <boost/test/unit_test.hpp>

#include "AddressTask.h"
#include "ArrivalSchedule.h"
#include "CompletionStream.h"
#include "LatencyHistogram.h"
#include "LoadTestReport.h"

namespace cli = boragerack::cli;
namespace config = boragerack::config;
namespace core = boragerack::core;
using namespace std::chrono_literals;

namespace {

config::LoadGeneratorSettings makeSettings()
{
    config::LoadGeneratorSettings settings;
    settings.organisations = {{{"a"}, "a.key", 3}, {{"b"}, "b.key", 1}};
    settings.models = {{"busy", 9}, {"idle", 1}};
    settings.requestsPerMinute = 60000;
    settings.duration = 10s;
    settings.coldAfter = 1s;
    return settings;
}

cli::RequestRecord makeRecord(std::size_t model, std::chrono::microseconds due,
                              std::chrono::microseconds first, std::chrono::microseconds end)
{
    cli::RequestRecord record;
    record.arrival = {due, model, model};
    record.result = cli::RequestResult::Completed;
    record.firstTokenAt = first;
    record.endedAt = end;
    return record;
}

} // namespace

// Guards against a run that is not reproducible and against shares that do not match the weights.
// 10,000 arrivals are expected; three standard deviations of a Poisson count are 300.
BOOST_AUTO_TEST_CASE(arrivalsFollowSeedRateAndWeights)
{
    const auto arrivals = cli::makeArrivals(makeSettings());
    BOOST_TEST((arrivals == cli::makeArrivals(makeSettings())));
    BOOST_TEST(arrivals.size() > 9700U);
    BOOST_TEST(arrivals.size() < 10300U);
    std::size_t ofFirst = 0;
    std::size_t ofIdle = 0;
    for (const cli::Arrival &arrival : arrivals) {
        ofFirst += arrival.organisation == 0 ? 1 : 0;
        ofIdle += arrival.model == 1 ? 1 : 0;
    }
    BOOST_TEST(ofFirst > arrivals.size() * 72 / 100);
    BOOST_TEST(ofFirst < arrivals.size() * 78 / 100);
    BOOST_TEST(ofIdle > arrivals.size() * 8 / 100);
    BOOST_TEST(ofIdle < arrivals.size() * 12 / 100);
    config::LoadGeneratorSettings bounded = makeSettings();
    bounded.maxRequests = 7;
    BOOST_TEST(cli::makeArrivals(bounded).size() == 7U);
}

// Guards against an off-by-one rank in percentiles: of 1 to 1000 ms the 950th value is 950 ms.
BOOST_AUTO_TEST_CASE(percentilesAreWithinOnePercent)
{
    cli::LatencyHistogram histogram;
    for (int i = 1; i <= 1000; ++i)
        histogram.add(std::chrono::milliseconds(i));
    const cli::LatencySummary summary = histogram.summarise();
    BOOST_TEST(summary.count == 1000U);
    BOOST_TEST((summary.p50 >= 500ms && summary.p50 <= 505ms));
    BOOST_TEST((summary.p95 >= 950ms && summary.p95 <= 960ms));
    BOOST_TEST((summary.p99 >= 990ms && summary.p99 <= 1000ms));
    BOOST_TEST((summary.max == 1000ms));
}

// Guards against hiding queueing delay by measuring latency from the actual send time, against
// missing the cold start of the first request, and against counting one twice: the second request
// is due while the model is warm, the third 1.5 s after the last token.
BOOST_AUTO_TEST_CASE(reportCountsColdStartsFromTheIntendedTime)
{
    const std::vector<cli::RequestRecord> records = {makeRecord(0, 0ms, 400ms, 500ms),
                                                     makeRecord(0, 600ms, 610ms, 700ms),
                                                     makeRecord(0, 2200ms, 2500ms, 2600ms)};
    const std::vector<bool> expected = {true, false, true};
    BOOST_TEST(cli::findColdStarts(records, 1s) == expected, boost::test_tools::per_element());
    const auto report = cli::makeLoadTestReport(makeSettings(), records);
    BOOST_TEST(report.total.coldFirstToken.count == 2U);
    BOOST_TEST((report.total.coldFirstToken.max == 400ms));
    BOOST_TEST((report.total.firstToken.count == 3U));
}

// Guards against missing the worst-served organisation because its few completed requests were
// fast.
BOOST_AUTO_TEST_CASE(worstOrganisationHasTheLowestCompletedShare)
{
    std::vector<cli::RequestRecord> records(4, makeRecord(0, 0ms, 900ms, 900ms));
    records.resize(6, makeRecord(1, 0ms, 10ms, 10ms));
    records[5].result = cli::RequestResult::Refused;
    records[5].code = "rate_limited";
    records[5].verdict = "not_run";
    records[5].firstTokenAt.reset();
    const auto report = cli::makeLoadTestReport(makeSettings(), records);
    BOOST_TEST(report.worstOrganisation == "b");
    const std::vector<cli::ErrorCount> errors = {{"rate_limited", "not_run", 1}};
    BOOST_TEST((report.organisations[1].errors == errors));
    BOOST_TEST(cli::serialiseLoadTestReport(makeSettings(), report).find("\"rate_limited\"")
               != std::string::npos);
}

// Guards against losing or double-counting tokens when an event is split between two reads, and
// against treating a truncated stream as complete.
BOOST_AUTO_TEST_CASE(streamIsSplitIntoTokens)
{
    cli::CompletionStream stream;
    BOOST_TEST(stream.add("data: {\"a\":1}\n\ndata: {\"a\"") == 1U);
    BOOST_TEST(stream.add(":2}\n\ndata: [DO") == 1U);
    BOOST_TEST(!stream.isDone());
    BOOST_TEST(stream.add("NE]\n\n") == 0U);
    BOOST_TEST(stream.isDone());
    cli::CompletionStream broken;
    broken.add("data: {\"error\":{\"code\":\"isolated\",\"verdict\":\"may_have_run\"}}\n\n");
    BOOST_TEST((broken.errorResponse() == cli::ErrorResponse {"isolated", "may_have_run"}));
}

// Guards against using an address list beyond the lifetime given by the node.
BOOST_AUTO_TEST_CASE(addressListIsParsed)
{
    const auto answer = cli::parseAddressList(
        R"({"addresses":["127.0.0.1:1","127.0.0.1:2"],"lifetime_seconds":10})");
    BOOST_TEST((core::valueOf(answer).lifetime == 10s));
    BOOST_TEST(core::valueOf(answer).addresses.size() == 2U);
    BOOST_TEST(!core::isOk(cli::parseAddressList("[]")));
}
