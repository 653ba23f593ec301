#include <boost/test/unit_test.hpp>

#include <vector>

#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/serving/RetryBudget.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

const RetryLimits kLimits {0.2, 54, 10s};

int takeAll(RetryBudget &budget, core::TimePoint now)
{
    int taken = 0;
    while (budget.reserve(now) && budget.commit(now))
        ++taken;
    return taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

// Guards against more retries than this node's share of the fleet's limit, and against a node that
// gets none.
BOOST_AUTO_TEST_CASE(retriesOfANodeAreBounded)
{
    core::TimePoint now = core::TimePoint() + 1h;
    RetryBudget budget(kLimits, now);
    BOOST_TEST(takeAll(budget, now) == 0);
    budget.setNodes(6);
    now += 10s;
    const int slack = takeAll(budget, now);
    BOOST_TEST(slack >= 3);
    BOOST_TEST(slack <= 54 / 6);
    for (int i = 0; i < 100; ++i)
        budget.countRequest(now);
    const int fromRequests = takeAll(budget, now);
    BOOST_TEST(fromRequests >= 14);
    BOOST_TEST(fromRequests <= 20);
    now += 5s;
    BOOST_TEST(takeAll(budget, now) == 0);
    now += 6s;
    BOOST_TEST(takeAll(budget, now) == slack);
}

// Guards against retries that are allowed because of requests before the window.
BOOST_AUTO_TEST_CASE(oldRequestsEarnNothing)
{
    core::TimePoint now = core::TimePoint() + 1h;
    RetryBudget budget(kLimits, now);
    budget.setNodes(76);
    for (int i = 0; i < 100; ++i)
        budget.countRequest(now);
    BOOST_TEST(takeAll(budget, now + 11s) == 0);
}

// Guards against retries of two windows that are sent in one, because those of the first waited for
// a target.
BOOST_AUTO_TEST_CASE(retriesCountWhenTheyAreSent)
{
    constexpr int kRequests = 100;
    for (const bool hasNewRequests : {true, false}) {
        core::TimePoint now = core::TimePoint() + 1h;
        RetryBudget budget({0.2, 0, 10s}, now);
        int waiting = 0;
        for (int i = 0; i < kRequests; ++i)
            budget.countRequest(now);
        while (budget.reserve(now))
            ++waiting;
        BOOST_TEST(waiting > 0);
        now += 11s;
        for (int i = 0; hasNewRequests && i < kRequests; ++i)
            budget.countRequest(now);
        while (budget.reserve(now))
            ++waiting;
        int sent = 0;
        for (; waiting > 0; --waiting)
            sent += budget.commit(now) ? 1 : 0;
        BOOST_TEST((sent > 0) == hasNewRequests);
        BOOST_TEST(sent <= 0.2 * kRequests);
    }
}

// Guards against a reservation that is lost when its request ends without a retry.
BOOST_AUTO_TEST_CASE(releasedReservationIsAvailableAgain)
{
    const core::TimePoint now = core::TimePoint() + 1h;
    RetryBudget budget({1, 0, 10s}, now);
    budget.countRequest(now);
    budget.countRequest(now);
    BOOST_TEST(budget.reserve(now));
    BOOST_TEST(!budget.reserve(now));
    budget.release();
    BOOST_TEST(budget.reserve(now));
    BOOST_TEST(budget.commit(now));
    BOOST_TEST(!budget.reserve(now));
}

// Guards against a fleet that exceeds its limit because most nodes restart at the same time, each
// with a new share of the slack.
BOOST_AUTO_TEST_CASE(restartedNodesKeepToTheLimit)
{
    for (const int nodes : {3, 7, 76, 360}) {
        core::TimePoint now = core::TimePoint() + 1h;
        core::SeededRandomSource random(static_cast<std::uint64_t>(nodes));
        std::vector<RetryBudget> fleet(static_cast<std::size_t>(nodes), RetryBudget(kLimits, now));
        for (RetryBudget &node : fleet)
            node.setNodes(static_cast<std::uint32_t>(nodes));
        now += 20s;
        int requests = 0;
        int retries = 0;
        for (int step = 0; step < 90; ++step, now += 100ms) {
            // All nodes restart in the middle of the window.
            if (step == 45) {
                fleet.assign(static_cast<std::size_t>(nodes), RetryBudget(kLimits, now));
                for (RetryBudget &node : fleet)
                    node.setNodes(static_cast<std::uint32_t>(nodes));
            }
            for (RetryBudget &node : fleet) {
                if (random.next() % 4 == 0) {
                    node.countRequest(now);
                    ++requests;
                }
                retries += takeAll(node, now);
            }
        }
        BOOST_TEST(retries <= 0.2 * requests + 54);
        BOOST_TEST(retries >= 0.1 * requests);
    }
}

// Guards against a fleet that exceeds its limit because its nodes restart several times within a
// window, each time with a new share of the slack.
BOOST_AUTO_TEST_CASE(nodesThatRestartInSeriesKeepToTheLimit)
{
    constexpr std::size_t kNodes = 7;
    for (const auto pause : {500ms, 1000ms, 3000ms, 9000ms}) {
        core::TimePoint now = core::TimePoint() + 1h;
        std::vector<RetryBudget> fleet(kNodes, RetryBudget(kLimits, now));
        for (RetryBudget &node : fleet)
            node.setNodes(kNodes);
        now += 20s;
        const core::TimePoint end = now + kLimits.window;
        int retries = 0;
        for (auto restartAt = now + pause; now < end; now += 100ms) {
            if (now >= restartAt) {
                restartAt += pause;
                fleet.assign(kNodes, RetryBudget(kLimits, now));
                for (RetryBudget &node : fleet)
                    node.setNodes(kNodes);
            }
            for (RetryBudget &node : fleet)
                retries += takeAll(node, now);
        }
        BOOST_TEST(retries <= kLimits.slack);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
