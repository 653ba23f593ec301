#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>
#include <limits>
#include <map>
#include <set>

#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/DeficitRoundRobinPolicy.h"
#include "boragerack/decisions/FirstComeFirstServedPolicy.h"
#include "boragerack/decisions/RequestQueue.h"

using namespace std::chrono_literals;
using namespace boragerack::decisions;
namespace core = boragerack::core;

namespace {

const core::TimePoint kStart {};

QueuedRequest makeRequest(std::uint64_t number, const std::string &organisation,
                          std::int64_t tokens, std::int64_t weight = 1,
                          core::TimePoint deadline = kStart + 30s)
{
    return {number, {organisation}, tokens, weight, deadline};
}

/// Tokens served to each of two organisations that always have waiting requests, with weights 3
/// and 1.
std::map<std::string, std::int64_t> serveBacklog(std::unique_ptr<QueuePolicy> policy)
{
    for (std::uint64_t i = 0; i < 900; ++i)
        policy->push(makeRequest(i, "large", 300, 3));
    for (std::uint64_t i = 900; i < 1800; ++i)
        policy->push(makeRequest(i, "small", 100, 1));
    std::map<std::string, std::int64_t> served;
    for (int i = 0; i < 600; ++i) {
        const auto request = policy->pop();
        served[request->organisation.value] += request->tokens;
    }
    return served;
}

} // namespace

// Guards against a request that keeps the processor for good because it states a very large number
// of tokens, and against rounds that are skipped unevenly.
BOOST_AUTO_TEST_CASE(statedTokensDoNotCostProcessorTime)
{
    constexpr std::int64_t kHuge = std::numeric_limits<std::int64_t>::max();
    DeficitRoundRobinPolicy policy;
    policy.push({.request = 1, .organisation = {"a"}, .tokens = kHuge});
    policy.push({.request = 2, .organisation = {"b"}, .tokens = kHuge, .weight = kHuge});
    policy.push({.request = 3, .organisation = {"c"}, .tokens = 1'000'000'000'000'000});
    policy.push({.request = 4, .organisation = {"d"}, .tokens = 100});
    std::vector<std::uint64_t> order;
    while (const auto request = policy.pop())
        order.push_back(request->request);
    const std::vector<std::uint64_t> expected {2, 4, 3, 1};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

// Guards against another order than that of rounds that are counted one by one.
BOOST_AUTO_TEST_CASE(skippedRoundsKeepTheOrder)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        core::SeededRandomSource random(seed);
        DeficitRoundRobinPolicy policy(64);
        std::map<core::OrganisationId, std::deque<QueuedRequest>> waiting;
        std::deque<core::OrganisationId> order;
        for (std::uint64_t number = 0; number < 40; ++number) {
            QueuedRequest request;
            request.request = number;
            request.organisation = {"o" + std::to_string(random.next() % 5)};
            request.tokens = static_cast<std::int64_t>(random.next() % 3000);
            request.weight = request.organisation.value == "o1" ? 3 : 1;
            if (waiting[request.organisation].empty())
                order.push_back(request.organisation);
            waiting[request.organisation].push_back(request);
            policy.push(request);
        }
        std::map<core::OrganisationId, std::int64_t> deficits;
        while (!order.empty()) {
            const core::OrganisationId organisation = order.front();
            std::deque<QueuedRequest> &requests = waiting[organisation];
            deficits[organisation] += 64 * requests.front().weight;
            while (!requests.empty() && requests.front().tokens <= deficits[organisation]) {
                deficits[organisation] -= requests.front().tokens;
                const auto served = policy.pop();
                RC_ASSERT(served.has_value());
                RC_ASSERT(served->request == requests.front().request);
                requests.pop_front();
            }
            order.pop_front();
            if (!requests.empty())
                order.push_back(organisation);
        }
        RC_ASSERT(!policy.pop().has_value());
    });
    BOOST_TEST(passed);
}

// Guards against sharing by number of requests instead of by weighted tokens.
BOOST_AUTO_TEST_CASE(backloggedOrganisationsShareTokensByWeight)
{
    auto fair = serveBacklog(std::make_unique<DeficitRoundRobinPolicy>());
    const double ratio = static_cast<double>(fair["large"]) / static_cast<double>(fair["small"]);
    BOOST_TEST(ratio > 2.8);
    BOOST_TEST(ratio < 3.2);
    auto first = serveBacklog(std::make_unique<FirstComeFirstServedPolicy>());
    BOOST_TEST(first["small"] == 0);
}

// Guards against one organisation that fills the queue of all others.
BOOST_AUTO_TEST_CASE(organisationBoundLeavesRoomForOthers)
{
    RequestQueue queue(std::make_unique<DeficitRoundRobinPolicy>(), {2, 3});
    BOOST_TEST(queue.handle(RequestArrived {makeRequest(1, "a", 10)}, kStart).empty());
    BOOST_TEST(queue.handle(RequestArrived {makeRequest(2, "a", 10)}, kStart).empty());
    const std::vector<QueueAction> full = {RefuseRequest {3, core::ErrorCode::QueueFull}};
    BOOST_TEST((queue.handle(RequestArrived {makeRequest(3, "a", 10)}, kStart) == full));
    BOOST_TEST(queue.handle(RequestArrived {makeRequest(4, "b", 10)}, kStart).empty());
    BOOST_TEST(queue.handle(RequestArrived {makeRequest(5, "c", 10)}, kStart).size() == 1U);
    BOOST_TEST(queue.size() == 3U);
}

// Guards against a request that is lost, answered twice or kept beyond its deadline.
BOOST_AUTO_TEST_CASE(everyRequestEndsOnceBeforeItsDeadline)
{
    BOOST_TEST(rc::check([](bool isFair) {
        std::unique_ptr<QueuePolicy> policy = std::make_unique<FirstComeFirstServedPolicy>();
        if (isFair)
            policy = std::make_unique<DeficitRoundRobinPolicy>(64);
        RequestQueue queue(std::move(policy), {5, 12});
        std::map<std::uint64_t, core::TimePoint> open;
        core::TimePoint now = kStart;
        std::uint64_t next = 1;
        const auto apply = [&](const QueueEvent &event) {
            for (const QueueAction &action : queue.handle(event, now)) {
                const auto *served = std::get_if<ServeRequest>(&action);
                const std::uint64_t request =
                    served ? served->request.request : std::get<RefuseRequest>(action).request;
                RC_ASSERT(open.contains(request));
                RC_ASSERT(!served || now < open.at(request));
                open.erase(request);
            }
        };
        const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 1000));
        for (const int step : steps) {
            now += std::chrono::milliseconds(step % 7);
            if (const auto timer = queue.nextTimer(); timer && *timer <= now)
                apply(QueueTimer {});
            if (step % 3 == 0) {
                apply(CapacityFreed {1});
            } else if (step % 11 == 0 && !open.empty()) {
                const std::uint64_t left = open.begin()->first;
                open.erase(left);
                apply(RequestCancelled {left});
            } else {
                const core::TimePoint deadline = now + std::chrono::milliseconds(1 + step % 50);
                open.emplace(next, deadline);
                apply(RequestArrived {makeRequest(next, std::to_string(step % 4), 1 + step % 300,
                                                  1 + step % 3, deadline)});
                ++next;
            }
            for (const auto &[request, deadline] : open)
                RC_ASSERT(deadline > now - 7ms);
        }
        now += 1s;
        apply(QueueTimer {});
        RC_ASSERT(open.empty());
        RC_ASSERT(queue.size() == 0U);
    }));
}
