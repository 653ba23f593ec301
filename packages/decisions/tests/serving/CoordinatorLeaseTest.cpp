#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>

#include <rapidcheck.h>

#include "RequestCharts.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/core/StoreVersion.h"
#include "boragerack/decisions/serving/CoordinatorLease.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kStep(25);
constexpr milliseconds kSimulatedTime(60s);

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

/// Simulates the platform object with conditional writes. A response may be lost, and the write may
/// then still take effect seconds later if its condition holds. The store may be restored from a
/// copy that is some seconds old.
class Store
{
public:
    struct DelayedWrite
    {
        core::TimePoint at;
        lease::Write write;
    };

    Store(core::RandomSource &random, bool isRestored)
        : random_(random)
        , isRestored_(isRestored)
    {
    }

    void tick(core::TimePoint now)
    {
        copies_.push_back({record_, objectRevision_, revision_});
        if (copies_.size() > kMaxCopies)
            copies_.pop_front();
        // Other objects are written as well.
        revision_ += random_.next() % 2;
        if (isRestored_ && random_.next() % 400 == 0) {
            const Copy copy = copies_[random_.next() % copies_.size()];
            record_ = copy.record;
            objectRevision_ = copy.objectRevision;
            revision_ = copy.revision;
            copies_.clear();
            ++era_;
        }
        while (!delayed_.empty() && delayed_.front().at <= now) {
            apply(delayed_.front().write);
            delayed_.pop_front();
        }
        if (random_.next() % 400 == 0)
            downUntil_ = now + milliseconds(random_.next() % 5000);
    }

    lease::Event read(core::TimePoint now) const
    {
        if (now < downUntil_)
            return lease::Unanswered();
        return lease::ReadFinished {record_, record_ ? version() : 0, era_};
    }

    lease::Event write(const lease::Write &write, core::TimePoint now)
    {
        if (now < downUntil_)
            return lease::Unanswered();
        switch (random_.next() % 12) {
        case 0:
            delayed_.push_back({now + milliseconds(1000 + random_.next() % 5000), write});
            std::ranges::sort(delayed_, {}, &DelayedWrite::at);
            return lease::Unanswered();
        case 1:
            apply(write);
            return lease::Unanswered();
        default:
            if (!apply(write))
                return lease::WriteConflict();
            return lease::WriteApplied {version()};
        }
    }

private:
    /// Copies of the last 15 s.
    static constexpr std::size_t kMaxCopies = 600;

    struct Copy
    {
        std::optional<LeaseRecord> record;
        std::uint64_t objectRevision = 0;
        std::uint64_t revision = 0;
    };

    std::uint64_t version() const { return core::toVersionNumber({era_, objectRevision_}); }

    bool apply(const lease::Write &write)
    {
        const bool holds = write.ifVersion
            ? record_ && core::toStoreVersion(*write.ifVersion).revision == objectRevision_
            : !record_;
        if (!holds)
            return false;
        record_ = write.record;
        objectRevision_ = ++revision_;
        return true;
    }

    core::RandomSource &random_;
    bool isRestored_;
    std::optional<LeaseRecord> record_;
    std::uint64_t objectRevision_ = 0;
    std::uint64_t revision_ = 10;
    std::uint64_t era_ = 1;
    std::deque<Copy> copies_;
    std::deque<DelayedWrite> delayed_;
    core::TimePoint downUntil_ = {};
};

struct Order
{
    core::TimePoint arrivesAt;
    int node = 0;
    std::uint64_t fence = 0;
};

/// Simulates nodes that are suspended, restart and compete for the lease; each sends orders
/// whenever it is allowed to.
class Fleet
{
public:
    Fleet(std::uint64_t seed, bool hasHandover, bool isRestored = false)
        : random_(seed)
        , store_(random_, isRestored)
        , times_(timesFor(hasHandover))
    {
        for (int node = 0; node < kNodes; ++node)
            restart(node);
    }

    std::vector<Order> run()
    {
        const core::TimePoint start = core::TimePoint(1h);
        for (core::TimePoint now = start; now < start + kSimulatedTime; now += kStep) {
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
        if (now < suspendedUntil_[node])
            return;
        const std::uint64_t fault = random_.next() % 2000;
        if (fault == 0)
            suspendedUntil_[node] = now + milliseconds(random_.next() % 6000);
        else if (fault == 1)
            restart(node);
        else if (fault == 2)
            handle(node, lease::StopRequested(), now);
        else if (fault == 3)
            handle(node, lease::StopAnnounced(), now);
        else if (fault < 60)
            reportHolder(node, static_cast<int>(fault % kNodes), now);
        if (nodes_[node]->isStopped())
            restart(node);
        if (now < suspendedUntil_[node])
            return;
        handle(node, lease::Tick(), now);
        if (nodes_[node]->mayOrder(now)) {
            const auto delay = milliseconds(
                random_.next() % static_cast<std::uint64_t>(times_.orderTimeout.count()));
            orders_.push_back({now + delay, node, nodes_[node]->fence()});
        }
    }

    /// The node reports the lease as it last read it to another node.
    void reportHolder(int node, int other, core::TimePoint now)
    {
        if (now < suspendedUntil_[other])
            return;
        const auto nodes = static_cast<std::uint32_t>(random_.next() % 80);
        handle(other, lease::NodesCounted {nodes}, now);
        if (const auto observed = nodes_[node]->observation())
            handle(other, lease::HolderReported {*observed}, now);
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
    std::map<int, core::TimePoint> suspendedUntil_;
    std::vector<Order> orders_;
};

/// Counts orders of two holders less than the handover time apart, and fences that do not increase.
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

// Guards against two nodes that send orders to one target within the handover time, under process
// suspension, restarts, outages of the store, and writes whose response is lost or that take effect
// late.
BOOST_AUTO_TEST_CASE(holdersKeepApart)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        const std::vector<Order> orders = Fleet(seed, true).run();
        RC_ASSERT(!orders.empty());
        RC_ASSERT(countViolations(orders) == 0U);
    });
    BOOST_TEST(passed);
}

// Guards against the same if the store is restored from older copies, so that nodes find records of
// earlier terms again.
BOOST_AUTO_TEST_CASE(holdersKeepApartAfterRestoresOfTheStore)
{
    const bool passed = rc::check([](std::uint64_t seed) {
        const std::vector<Order> orders = Fleet(seed, true, true).run();
        RC_ASSERT(countViolations(orders) == 0U);
    });
    BOOST_TEST(passed);
}

// Guards against nodes that take no lease after a restore although the record is free.
BOOST_AUTO_TEST_CASE(ordersGoOnAfterRestoresOfTheStore)
{
    std::size_t orders = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        orders += Fleet(seed, true, true).run().size();
    BOOST_TEST(orders > 0U);
}

// Verifies that the check above detects a missing handover.
BOOST_AUTO_TEST_CASE(checkFindsMissingHandover)
{
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        violations += countViolations(Fleet(seed, false).run());
    BOOST_TEST(violations > 0U);
}

// Guards against a restarted coordinator that sends orders at once although its predecessor on the
// same instance still had to wait for recent orders of the previous holder.
BOOST_AUTO_TEST_CASE(restartPreservesOrderDelay)
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

// Guards against a coordinator that cannot reach the platform and never learns of its successor, so
// that it and the nodes that report to it cannot confirm the configuration.
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

// Guards against a large fleet in which every node reads the lease from the platform five times a
// second while the coordinator does not respond.
BOOST_AUTO_TEST_CASE(largeFleetPollsLessOften)
{
    const auto countPolls = [](std::uint32_t nodes) {
        core::TimePoint now = core::TimePoint(1h);
        CoordinatorLease lease(chart(), recordOf(1, 8), LeaseTimes());
        lease.handle(lease::Tick(), now);
        lease.handle(lease::ReadFinished {recordOf(2, 9), 6}, now);
        lease.handle(lease::NodesCounted {nodes}, now);
        lease.handle(lease::CoordinatorAnswered {true, 9, 0, now}, now);
        int polls = 0;
        LeaseRecord renewed = recordOf(2, 9);
        for (int i = 0; i < 400; ++i) {
            now += kStep;
            for (const lease::Action &action : lease.handle(lease::Tick(), now)) {
                BOOST_TEST(std::holds_alternative<lease::Read>(action));
                ++polls;
                ++renewed.renewal;
                lease.handle(lease::ReadFinished {renewed, 7 + renewed.renewal}, now);
            }
        }
        return polls;
    };
    BOOST_TEST(countPolls(7) >= 40);
    BOOST_TEST(countPolls(76) <= 13);
}

// Guards against a successor that still lists the terminated coordinator to callers.
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

// Guards against a holder that remains active after its lease may have been acquired by another.
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
