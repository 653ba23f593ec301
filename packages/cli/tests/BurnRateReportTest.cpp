#include <boost/test/unit_test.hpp>

#include "BurnPage.h"
#include "BurnRateReport.h"
#include "BurnText.h"
#include "CliFixture.h"
#include "MetricScrape.h"
#include "boragerack/cli/ExitCode.h"

namespace cli = boragerack::cli;
namespace config = boragerack::config;
namespace core = boragerack::core;
using namespace std::chrono_literals;

namespace {

/// Metrics of organisation a and model m: first tokens within 1 s, all first tokens, and requests
/// that were completed, refused without a ready replica and refused above the rate.
std::string metricsText(int good, int all, int completed, int noReplica, int rateLimited)
{
    const std::string labels = "organisation=\"a\",model=\"m\"";
    const std::string requests = "boragerack_requests_total{" + labels + ",outcome=\"";
    return "# TYPE boragerack_requests_total counter\nboragerack_first_token_seconds_bucket{"
        + labels + ",le=\"1\"} " + std::to_string(good) + "\nboragerack_first_token_seconds_bucket{"
        + labels + ",le=\"2.5\"} " + std::to_string(all) + "\nboragerack_first_token_seconds_count{"
        + labels + "} " + std::to_string(all) + "\n" + requests + "completed\",verdict=\"ran\"} "
        + std::to_string(completed) + "\n" + requests + "no_ready_replica\",verdict=\"not_run\"} "
        + std::to_string(noReplica) + "\n" + requests + "rate_limited\",verdict=\"not_run\"} "
        + std::to_string(rateLimited) + "\n";
}

cli::MetricSample sampleAt(std::chrono::milliseconds time, const std::string &node,
                           const std::string &text)
{
    return core::takeValue(cli::parseSample({time, node, text}));
}

config::ServiceObjectives makeObjectives()
{
    return {{{"first-token", config::Indicator::FirstToken, 1000ms, 950},
             {"answered", config::Indicator::Refusals, 0ms, 990}}};
}

std::vector<double> ratesOf(const std::vector<cli::BurnRateWindow> &windows)
{
    std::vector<double> rates;
    for (const cli::BurnRateWindow &window : windows)
        rates.push_back(window.burnRate.value_or(-1));
    return rates;
}

} // namespace

// Guards against wrong burn rates after a restart, at a window boundary or with several nodes.
//
// Node n1 is read at 0, 60 and 120 min, node n2 at 60 and 120 min:
//   n1    0 min: 1000 first tokens, all within 1 s (before the history, excluded)
//   n1   60 min: 1100, of them 1090 within 1 s: +100, 10 late
//   n1  120 min: 200, 180 within 1 s: a decrease, so a restart: +200, 20 late
//   n2   60 min: 5000, all late (first sample, excluded)
//   n2  120 min: 5100, 100 within 1 s: +100, 0 late
// Objective 95% within 1 s: budget 0.05. The last sample is at 120 min.
//   5 min, from 115: a twelfth of the last interval, 25 tokens, 5/3 late: 20/300 / 0.05 = 4/3
//   1 h, from 60: 300 tokens, 20 late: 4/3
//   6 h and 3 d, whole history: 400 tokens, 30 late: 0.075 / 0.05 = 1.5; covered 2 h of 6 h
// Requests: n1 +90 completed +10 refused, then a restart with 198 completed and 2 refused; n2 +100
// completed. 99% answered: budget 0.01. 1 h: 2 of 300, 2/3. Whole: 12 of 400, 0.03 / 0.01 = 3. The
// 50 refusals above the rate are client errors and are excluded.
BOOST_AUTO_TEST_CASE(burnRatesMatchManualCalculation)
{
    const auto history =
        cli::MetricHistory::make({sampleAt(120min, "n2", metricsText(100, 5100, 400, 0, 0)),
                                  sampleAt(0min, "n1", metricsText(1000, 1000, 1000, 0, 0)),
                                  sampleAt(60min, "n1", metricsText(1090, 1100, 1090, 10, 50)),
                                  sampleAt(60min, "n2", metricsText(0, 5000, 300, 0, 0)),
                                  sampleAt(120min, "n1", metricsText(180, 200, 198, 2, 0))});
    const cli::BurnRateReport report = cli::computeBurnRates(history, makeObjectives());
    // Rows: (all) and model m, each with both objectives.
    BOOST_REQUIRE(report.rows.size() == 4U);
    const auto tolerance = boost::test_tools::tolerance(1e-9);
    const std::vector<double> firstToken = {4.0 / 3, 4.0 / 3, 1.5, 1.5};
    const std::vector<double> answered = {2.0 / 3, 2.0 / 3, 3, 3};
    BOOST_TEST(report.rows[0].objective == "first-token");
    BOOST_TEST(report.rows[0].model.empty());
    BOOST_TEST(ratesOf(report.rows[0].windows) == firstToken,
               tolerance << boost::test_tools::per_element());
    BOOST_TEST(ratesOf(report.rows[1].windows) == answered,
               tolerance << boost::test_tools::per_element());
    BOOST_TEST(report.rows[3].model == "m");
    BOOST_TEST(ratesOf(report.rows[3].windows) == answered,
               tolerance << boost::test_tools::per_element());
    BOOST_TEST(report.rows[0].windows[0].total == 25.0, tolerance);
    BOOST_TEST(report.rows[0].windows[2].coverage == 1.0 / 3, tolerance);
    BOOST_TEST(report.rows[0].windows[1].coverage == 1.0, tolerance);
    BOOST_TEST(report.rows[0].timeline.size() == 48U);
    BOOST_TEST(report.rows[0].timeline.front().burnRate.value() == 2.0, tolerance);
    BOOST_TEST(report.fleetSummary.wrongfulRefusals.value() == 12.0, tolerance);
    BOOST_TEST(!report.fleetSummary.coldStarts.has_value());
    BOOST_TEST(report.fleetSummary.worstOrganisation == "a");
    BOOST_TEST(report.fleetSummary.worstObjective == "answered");
    BOOST_TEST(report.fleetSummary.worstBurnRate == 3.0, tolerance);
}

// Guards against computing measures from the wrong series. 100 cold starts, 96 within 5 s and 99
// within 10 s; 5400 idle seconds are 1.5 hours.
BOOST_AUTO_TEST_CASE(measuresOfColdStartsAndIdleTime)
{
    const std::string bucket = "boragerack_cold_start_seconds_bucket{model=\"m\",le=\"";
    const auto history = cli::MetricHistory::make(
        {sampleAt(0s, "n", ""),
         sampleAt(60s, "n",
                  bucket + "1\"} 50\n" + bucket + "5\"} 96\n" + bucket + "10\"} 99\n" + bucket
                      + "+Inf\"} 100\nboragerack_cold_start_seconds_count{model=\"m\"} 100\n"
                      + "boragerack_idle_accelerator_seconds_total{model=\"m\"} 5400\n")});
    const cli::FleetSummary summary = cli::computeBurnRates(history, makeObjectives()).fleetSummary;
    BOOST_TEST(summary.coldStartP50Seconds.value() == 1.0);
    BOOST_TEST(summary.coldStartP95Seconds.value() == 5.0);
    BOOST_TEST(summary.coldStartP99Seconds.value() == 10.0);
    BOOST_TEST(summary.idleAcceleratorHours.value() == 1.5);
}

// Guards against counting refusals above the plan's rate as wrongful or as within the rate, and
// against missing those within it. The plan permits 1 token/s. In the first 24 minutes (1440
// tokens) 900 + 100 tokens are requested and 5 requests refused; in the second 24 minutes 2000 +
// 1000 tokens and 7 requests.
BOOST_AUTO_TEST_CASE(refusalsWithinTheRateAreCounted)
{
    const auto text = [](int admitted, int refused, int requests) {
        return "boragerack_plan_tokens_per_second{organisation=\"a\"} 1\n"
               "boragerack_tokens_admitted_total{organisation=\"a\"} "
            + std::to_string(admitted) + "\nboragerack_tokens_refused_total{organisation=\"a\"} "
            + std::to_string(refused)
            + "\nboragerack_requests_total{organisation=\"a\",model=\"m\","
              "outcome=\"rate_limited\",verdict=\"not_run\"} "
            + std::to_string(requests) + "\n";
    };
    const auto history = cli::MetricHistory::make({sampleAt(0min, "n", text(0, 0, 0)),
                                                   sampleAt(24min, "n", text(900, 100, 5)),
                                                   sampleAt(48min, "n", text(2900, 1100, 12))});
    const cli::FleetSummary summary = cli::computeBurnRates(history, makeObjectives()).fleetSummary;
    BOOST_TEST(summary.refusalsWithinRate.value() == 5.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(summary.wrongfulRefusals.value() == 0.0);
}

// Guards against label values that break the parser or the HTML page.
BOOST_AUTO_TEST_CASE(labelsAreReadAndEscaped)
{
    const auto values = cli::parseExposition("# HELP x\nx{a=\"b\\\"c\\nd<\",e=\"\"} 2.5\ny 1\n");
    BOOST_REQUIRE(core::isOk(values));
    const cli::MetricSeries expected {"x", {{"a", "b\"c\nd<"}, {"e", ""}}};
    BOOST_TEST(core::valueOf(values).at(expected) == 2.5);
    BOOST_TEST(!core::isOk(cli::parseExposition("x{a=\"b} 1\n")));
    cli::BurnRateReport report;
    report.rows.push_back({"<b>", "", "o", {{5min, 1, 4, 2, 2.0}}, {{5min, 1, 4, 2, 2.0}}});
    const std::string page = cli::formatBurnPage(report);
    BOOST_TEST(page.find("<b>") == std::string::npos);
    BOOST_TEST(page.find("<svg") != std::string::npos);
}

// Guards against a wrong report from saved samples, and against an exceeded limit that is not
// reflected in the exit code.
BOOST_FIXTURE_TEST_CASE(savedSamplesAreReported, cli::test::CliFixture)
{
    const std::string saved = writeFile(
        "samples.jsonl",
        cli::serialiseMetricScrape({0ms, "n", metricsText(0, 0, 0, 0, 0)}) + "\n"
            + cli::serialiseMetricScrape({300s, "n", metricsText(90, 100, 100, 0, 0)}) + "\n");
    const std::string objectives =
        writeFile("objectives.json",
                  R"({"objectives":[{"name":"first","indicator":"firstToken","thresholdMs":1000,
            "goodPerMille":950}]})");
    const std::string page = (directory / "burn.html").string();
    BOOST_TEST(run({"burn", "--objectives", objectives, "--saved", saved, "--html", page})
               == cli::Succeeded);
    BOOST_TEST(out.str().find("first                     2.00     2.00*") != std::string::npos);
    BOOST_TEST(std::filesystem::file_size(page) > 1000U);
    BOOST_TEST(run({"burn", "--objectives", objectives, "--saved", saved, "--fail-above", "1.9"})
               == cli::ConditionFailed);
    BOOST_TEST(run({"burn", "--objectives", saved, "--saved", saved}) == cli::UsageError);
}
