#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>

#include <rapidcheck.h>

#include "RequestCharts.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/serving/CoordinatorLease.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kStep(25);
constexpr milliseconds kRun(60s);

std::shared_ptr<const CoordinatorBinding> chart()
{
    static const auto binding = shareBinding(bindCoordinatorChart(readChart("coordinator")));
    return binding;
}

LeaseRecord recordOf(int node, std::uint64_t incarnation)
{
    return {{"node-" + std::to_string(node)},
            "10.0.0." + std::to_string(node) + ":1",
            incarnation,
            0,
            false,
            {},
            LeaseTimes().validity};
}

/// The platform's object with conditional writes. An answer may be lost, and the write may then
/// still take effect seconds later if its condition holds.
class Store
{
public:
    struct LateWrite
    {
        core::TimePoint at;
        lease::Write write;
    };

    explicit Store(core::RandomSource &random)
        : random_(random)
    {
    }

    void tick(core::TimePoint now)
    {
        while (!late_.empty() && late_.front().at <= now) {
            apply(late_.front().write);
            late_.pop_front();
        }
        if (random_.next() % 400 == 0)
            downUntil_ = now + milliseconds(random_.next() % 5000);
    }

    lease::Event read(core::TimePoint now) const
    {
        if (now < downUntil_)
            return lease::Unanswered();
        return lease::ReadFinished {record_, version_};
    }

    lease::Event write(const lease::Write &write, core::TimePoint now)
    {
        if (now < downUntil_)
            return lease::Unanswered();
        switch (random_.next() % 12) {
        case 0:
            late_.push_back({now + milliseconds(1000 + random_.next() % 5000), write});
            std::ranges::sort(late_, {}, &LateWrite::at);
            return lease::Unanswered();
        case 1:
            apply(write);
            return lease::Unanswered();
        default:
            if (!apply(write))
                return lease::WriteConflict();
            return lease::WriteApplied {version_};
        }
    }

private:
    bool apply(const lease::Write &write)
    {
        const bool holds = write.ifVersion ? record_ && *write.ifVersion == version_ : !record_;
        if (!holds)
            return false;
        record_ = write.record;
        version_ += 1 + random_.next() % 5;
        return true;
    }

    core::RandomSource &random_;
    std::optional<LeaseRecord> record_;
    std::uint64_t version_ = 10;
    std::deque<LateWrite> late_;
    core::TimePoint downUntil_ = {};
};

struct Order
{
    core::TimePoint arrivesAt;
    int node = 0;
    std::uint64_t fence = 0;
};

/// Nodes that freeze, restart and race for the lease; each gives orders whenever it may.
class Fleet
{
public:
    Fleet(std::uint64_t seed, bool hasHandover)
        : random_(seed)
        , store_(random_)
        , times_(timesFor(hasHandover))
    {
        for (int node = 0; node < kNodes; ++node)
            restart(node);
    }

    std::vector<Order> run()
    {
        const core::TimePoint start = core::TimePoint(1h);
        for (core::TimePoint now = start; now < start + kRun; now += kStep) {
            store_.tick(now);
            for (int node = 0; node < kNodes; ++node)
                step(node, now);
        }
        std::ranges::sort(orders_, {}, &Order::arrivesAt);
        return orders_;
    }

private:
    static constexpr int kNodes = 4;

    static LeaseTimes timesFor(bool hasHandover)
    {
        LeaseTimes times;
        if (!hasHandover)
            times.orderHandover = 0ms;
        return times;
    }

    void restart(int node)
    {
        nodes_[node] =
            std::make_unique<CoordinatorLease>(chart(), recordOf(node, random_.next()), times_);
    }

    void step(int node, core::TimePoint now)
    {
        if (now < frozenUntil_[node])
            return;
        const std::uint64_t fate = random_.next() % 2000;
        if (fate == 0)
            frozenUntil_[node] = now + milliseconds(random_.next() % 6000);
        else if (fate == 1)
            restart(node);
        else if (fate == 2)
            handle(node, lease::StopRequested(), now);
        else if (fate == 3)
            handle(node, lease::StopAnnounced(), now);
        else if (fate < 60)
            tell(node, static_cast<int>(fate % kNodes), now);
        if (nodes_[node]->isStopped())
            restart(node);
        if (now < frozenUntil_[node])
            return;
        handle(node, lease::Tick(), now);
        if (nodes_[node]->mayOrder(now)) {
            const auto delay = milliseconds(
                random_.next() % static_cast<std::uint64_t>(times_.orderTimeout.count()));
            orders_.push_back({now + delay, node, nodes_[node]->fence()});
        }
    }

    /// The node tells another one what it has read of the lease.
    void tell(int node, int other, core::TimePoint now)
    {
        if (now < frozenUntil_[other])
            return;
        const auto nodes = static_cast<std::uint32_t>(random_.next() % 80);
        handle(other, lease::NodesCounted {nodes}, now);
        if (const auto sighting = nodes_[node]->observation())
            handle(other, lease::HolderReported {*sighting}, now);
    }

    void handle(int node, const lease::Event &event, core::TimePoint now)
    {
        for (const lease::Action &action : nodes_[node]->handle(event, now)) {
            if (std::holds_alternative<lease::Read>(action))
                handle(node, store_.read(now), now);
            else
                handle(node, store_.write(std::get<lease::Write>(action), now), now);
        }
    }

    core::SeededRandomSource random_;
    Store store_;
    LeaseTimes times_;
    std::map<int, std::unique_ptr<CoordinatorLease>> nodes_;
    std::map<int, core::TimePoint> frozenUntil_;
    std::vector<Order> orders_;
};

/// Orders of two holders that are closer together than the handover, or fences that go back.
std::size_t countViolations(const std::vector<Order> &orders)
{
    std::size_t violations = 0;
    for (std::size_t i = 1; i < orders.size(); ++i) {
        const Order &before = orders[i - 1];
        const Order &after = orders[i];
        if (before.node != after.node
            && (after.arrivesAt - before.arrivesAt < LeaseTimes().orderHandover
                || after.fence <= before.fence))
            ++violations;
    }
    return violations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CoordinatorLeaseTest)

// Guards against two nodes that give one target orders within the handover time, through freezes,
// restarts, outages of the store, and answers that are lost or take effect late.
BOOST_AUTO_TEST_CASE(holdersKeepApart)
{
    const bool isKept = rc::check([](std::uint64_t seed) {
        const std::vector<Order> orders = Fleet(seed, true).run();
        RC_ASSERT(!orders.empty());
        RC_ASSERT(countViolations(orders) == 0U);
    });
    BOOST_TEST(isKept);
}

// Shows that the check above notices the mechanism's absence.
BOOST_AUTO_TEST_CASE(checkFindsMissingHandover)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        violations += countViolations(Fleet(seed, false).run());
    BOOST_TEST(violations > 0U);
}

// Guards against a restarted coordinator that orders at once although its predecessor on the same
// instance still waited for the orders of the holder before it.
BOOST_AUTO_TEST_CASE(restartKeepsTheWait)
{
    const core::TimePoint now = core::TimePoint(1h);
    LeaseRecord record = recordOf(1, 7);
    record.ordersAfter = 2500ms;
    CoordinatorLease lease(chart(), recordOf(1, 8), LeaseTimes());
    lease.handle(lease::Tick(), now);
    lease.handle(lease::ReadFinished {record, 5}, now);
    lease.handle(lease::WriteApplied {6}, now);
    BOOST_TEST(lease.hasTerm());
    BOOST_TEST(!lease.mayOrder(now + 100ms));
}

// Guards against a coordinator without the platform that never learns of its successor, so that it
// and the nodes that report to it stay without a proof of the configuration (crsa-yard-grown
// scale-2).
BOOST_AUTO_TEST_CASE(lapsedHolderLearnsOfItsSuccessor)
{
    core::TimePoint now = core::TimePoint(1h);
    CoordinatorLease lease(chart(), recordOf(1, 8), LeaseTimes());
    lease.handle(lease::Tick(), now);
    lease.handle(lease::ReadFinished {}, now);
    lease.handle(lease::WriteApplied {6}, now);
    now += LeaseTimes().renewInterval;
    lease.handle(lease::Tick(), now);
    lease.handle(lease::Unanswered(), now);
    lease.handle(lease::Unanswered(), now);
    BOOST_TEST(lease.hasTerm());
    lease.handle(lease::HolderReported {{recordOf(2, 9), 5}}, now);
    BOOST_TEST(lease.hasTerm());
    lease.handle(lease::HolderReported {{recordOf(2, 9), 7}}, now);
    BOOST_TEST(!lease.hasTerm());
    BOOST_REQUIRE(lease.holder());
    BOOST_TEST(lease.holder()->holder.value == "node-2");
}

// Guards against a large fleet in which every node asks the platform five times a second for the
// lease while the coordinator is silent.
BOOST_AUTO_TEST_CASE(manyNodesLookLessOften)
{
    const auto looksOf = [](std::uint32_t nodes) {
        core::TimePoint now = core::TimePoint(1h);
        CoordinatorLease lease(chart(), recordOf(1, 8), LeaseTimes());
        lease.handle(lease::Tick(), now);
        lease.handle(lease::ReadFinished {recordOf(2, 9), 6}, now);
        lease.handle(lease::NodesCounted {nodes}, now);
        lease.handle(lease::CoordinatorAnswered {true, 9, 0, now}, now);
        int looks = 0;
        LeaseRecord renewed = recordOf(2, 9);
        for (int i = 0; i < 400; ++i) {
            now += kStep;
            for (const lease::Action &action : lease.handle(lease::Tick(), now)) {
                BOOST_TEST(std::holds_alternative<lease::Read>(action));
                ++looks;
                ++renewed.renewal;
                lease.handle(lease::ReadFinished {renewed, 7 + renewed.renewal}, now);
            }
        }
        return looks;
    };
    BOOST_TEST(looksOf(7) >= 40);
    BOOST_TEST(looksOf(76) <= 13);
}

// Guards against a successor that tells callers of a coordinator that has ended.
BOOST_AUTO_TEST_CASE(lapsedHolderIsNamed)
{
    core::TimePoint now = core::TimePoint(1h);
    CoordinatorLease lease(chart(), recordOf(1, 8), LeaseTimes());
    lease.handle(lease::Tick(), now);
    lease.handle(lease::ReadFinished {recordOf(2, 9), 6}, now);
    now += 2s;
    lease.handle(lease::Tick(), now);
    lease.handle(lease::ReadFinished {recordOf(2, 9), 6}, now);
    lease.handle(lease::WriteApplied {7}, now);
    BOOST_TEST(lease.hasTerm());
    BOOST_REQUIRE(lease.lapsedHolder());
    BOOST_TEST(lease.lapsedHolder()->value == "node-2");
}

// Guards against a holder that goes on after its lease may have been taken.
BOOST_AUTO_TEST_CASE(lapsesWithoutRenewal)
{
    const core::TimePoint now = core::TimePoint(1h);
    CoordinatorLease lease(chart(), recordOf(1, 8), LeaseTimes());
    lease.handle(lease::Tick(), now);
    lease.handle(lease::ReadFinished {}, now);
    lease.handle(lease::WriteApplied {6}, now);
    BOOST_TEST(lease.mayOrder(now));
    BOOST_TEST(lease.isHolding(now + LeaseTimes().validity - 1ms));
    BOOST_TEST(!lease.isHolding(now + LeaseTimes().validity));
    BOOST_TEST(!lease.mayOrder(now + LeaseTimes().validity - LeaseTimes().orderTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
