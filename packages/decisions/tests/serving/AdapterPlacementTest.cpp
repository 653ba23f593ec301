#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>

#include "FakeTarget.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A planner before targets that carry out orders at once.
class InstantTargets
{
public:
    /// `replicas` by target.
    explicit InstantTargets(const std::vector<std::vector<ModelReplica>> &replicas)
        : planner_(makeTargetOrderChart())
    {
        TargetEntries entries;
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            TargetEntry entry = FakeTarget(i).entry();
            entry.replicas = replicas[i];
            reports_[entry.target] = {1, 0, false, entry.replicas, {}};
            entries.emplace(entry.target, entry);
        }
        dispatch(swap::ServicesChanged {{makeService()}});
        dispatch(swap::TargetsChanged {std::make_shared<const TargetEntries>(entries)});
        dispatch(swap::OrdersAllowed {true});
    }

    /// Lets requests wait for the artifacts.
    void advance(milliseconds time, const std::vector<Artifact> &wanted)
    {
        std::vector<ArtifactDemand> demands;
        for (const Artifact &artifact : wanted)
            demands.push_back({artifact, kService, 1, 1, 0ms, 2500ms});
        for (const core::TimePoint end = now_ + time; now_ < end;) {
            now_ += 25ms;
            dispatch(swap::DemandReported {{"n0"}, demands, {}});
        }
    }

    void remove(const core::TargetId &target, const Artifact &artifact)
    {
        std::vector<ModelReplica> &replicas = reports_.at(target).replicas;
        const auto replica = std::ranges::find(replicas, artifact.model, &ModelReplica::model);
        if (artifact.isAdapter())
            std::erase(replica->adapters, artifact.adapter);
        else
            replicas.erase(replica);
    }

    std::vector<swap::SendOrder> orders;
    /// Requests use the adapters of this target, so that it accepts to unload one but keeps it.
    std::optional<core::TargetId> keepsAdapters;

private:
    void dispatch(const swap::Event &event)
    {
        for (const swap::Action &action : planner_.handle(event, now_))
            std::visit([this](const auto &concrete) { perform(concrete); }, action);
    }

    void perform(const swap::SendOrder &order)
    {
        orders.push_back(order);
        TargetReport &report = reports_.at(order.target);
        ++report.orderSequence;
        const Artifact &artifact = order.artifact;
        if (order.kind == swap::OrderKind::Unload) {
            if (!artifact.isAdapter() || keepsAdapters != order.target)
                remove(order.target, artifact);
        } else if (artifact.isAdapter()) {
            std::ranges::find(report.replicas, artifact.model, &ModelReplica::model)
                ->adapters.push_back(artifact.adapter);
        } else {
            report.replicas.push_back({artifact.model, 1, {}});
        }
        dispatch(swap::OrderAnswered {order.target, order.order, swap::OrderOutcome::Accepted});
    }

    void perform(const swap::RequestTargetReport &action)
    {
        dispatch(swap::TargetReportReceived {action.target, reports_.at(action.target)});
    }

    SwapPlanner planner_;
    std::map<core::TargetId, TargetReport> reports_;
    core::TimePoint now_ = core::TimePoint(1h);
};

/// A target that has accepted to unload its only adapter.
struct UnloadingAdapter
{
    UnloadingAdapter()
    {
        BOOST_REQUIRE(tracker.nextReportRequest(now).has_value());
        tracker.report(TargetReport {1, 0, false, replicas, {}}, now);
        tracker.begin({.order = {1, entry.target, {}, swap::OrderKind::Unload, adapter, 0}});
        tracker.answer(swap::OrderOutcome::Accepted, now);
    }

    core::TimePoint now = core::TimePoint(1h);
    const TargetEntry entry = FakeTarget(0).entry();
    TargetTracker tracker {makeTargetOrderChart(), entry, now};
    const std::vector<ModelReplica> replicas {{modelOf(0), 1, {{"a0"}}}};
    const Artifact adapter {modelOf(0), {}, {"a0"}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdapterPlacementTest)

// Guards against an adapter whose unload counts as done although requests use it, which are unknown
// because their node is frozen: another adapter is then loaded into a place that is not free.
BOOST_AUTO_TEST_CASE(unloadOfAnAdapterInUseFreesNoPlace)
{
    const Artifact wanted {modelOf(0), {}, {"a9"}};
    InstantTargets target({{{modelOf(0), 1, {{"a0"}, {"a1"}, {"a2"}, {"a3"}}}}});
    target.keepsAdapters = core::TargetId {"t0"};
    // The target accepts each unload and waits for the requests that use the adapter.
    target.advance(5s, {wanted});
    BOOST_REQUIRE(!target.orders.empty());
    BOOST_TEST(target.orders.size() <= 2U);
    for (const swap::SendOrder &order : target.orders)
        BOOST_TEST((order.kind == swap::OrderKind::Unload));
    // The requests have ended.
    target.remove({"t0"}, target.orders.front().artifact);
    target.orders.clear();
    target.advance(1s, {wanted});
    BOOST_REQUIRE(!target.orders.empty());
    BOOST_TEST((target.orders.front().kind == swap::OrderKind::Load));
    BOOST_TEST((target.orders.front().artifact == wanted));
}

// Guards against an adapter that waits for the only target whose adapters are all in use, while
// another target could evict one.
BOOST_AUTO_TEST_CASE(adapterIsPlacedWhereOneCanBeEvicted)
{
    const Artifact wanted {modelOf(0), {}, {"a9"}};
    const std::vector<ModelReplica> full {{modelOf(0), 1, {{"a0"}, {"a1"}, {"a2"}, {"a3"}}}};
    InstantTargets targets({full, full});
    targets.keepsAdapters = core::TargetId {"t0"};
    targets.advance(5s, {wanted});
    BOOST_REQUIRE(!targets.orders.empty());
    BOOST_TEST((targets.orders.back().kind == swap::OrderKind::Load));
    BOOST_TEST((targets.orders.back().artifact == wanted));
    BOOST_TEST((targets.orders.back().target == core::TargetId {"t1"}));
}

// Guards against an adapter that is loaded into a free place although the weights leave no memory
// for it, and against requests that wait for it until their deadline because nothing is evicted.
BOOST_AUTO_TEST_CASE(adapterWithoutMemoryEvictsAnIdleModel)
{
    const Artifact wanted {modelOf(0), {}, {"a9"}};
    InstantTargets target({{{modelOf(0), 1, {}}, {modelOf(1), 1, {}}, {modelOf(2), 1, {}}}});
    // 189,000 MB of 200,000 MB are used, so one adapter fits.
    target.advance(500ms, {{modelOf(0), {}, {"a0"}}});
    BOOST_REQUIRE(target.orders.size() == 1U);
    BOOST_TEST((target.orders.front().kind == swap::OrderKind::Load));
    target.orders.clear();
    target.advance(5s, {{modelOf(0), {}, {"a0"}}, wanted});
    BOOST_REQUIRE(target.orders.size() >= 2U);
    BOOST_TEST((target.orders.front().kind == swap::OrderKind::Unload));
    BOOST_TEST(!target.orders.front().artifact.isAdapter());
    BOOST_TEST((target.orders.front().artifact.model != wanted.model));
    BOOST_TEST((target.orders.back().kind == swap::OrderKind::Load));
    BOOST_TEST((target.orders.back().artifact == wanted));
}

// Guards against a target that accepts no orders while a report is on its way that is only to prove
// an earlier unload, and against such a report that replaces the order sent meanwhile.
BOOST_FIXTURE_TEST_CASE(reportForAProofDelaysNoOrder, UnloadingAdapter)
{
    BOOST_TEST(tracker.isUnloading(adapter));
    now += 2s;
    BOOST_REQUIRE(tracker.nextReportRequest(now).has_value());
    BOOST_TEST(tracker.isIdle(now));
    // Without an answer the target is asked again, and accepts orders meanwhile.
    tracker.report(std::nullopt, now);
    BOOST_TEST(tracker.isIdle(now));
    now += 2s;
    BOOST_REQUIRE(tracker.nextReportRequest(now).has_value());
    tracker.begin({.order = {2, entry.target, {}, swap::OrderKind::Load, {modelOf(1), {}, {}}, 1},
                   .duration = 800ms,
                   .isDurationCertain = true});
    tracker.report(TargetReport {1, 1, false, replicas, {}}, now);
    BOOST_REQUIRE(tracker.pending().has_value());
    tracker.answer(swap::OrderOutcome::Accepted, now);
    BOOST_TEST(tracker.isLoading(modelOf(1)));
    now += 1s;
    tracker.tick(now);
    BOOST_TEST(tracker.serves(modelOf(1)));
    BOOST_TEST(tracker.isUnloading(adapter));
    now += 1s;
    BOOST_REQUIRE(tracker.nextReportRequest(now).has_value());
    tracker.report(TargetReport {1, 2, false, {{modelOf(0), 1, {}}, {modelOf(1), 1, {}}}, {}}, now);
    BOOST_TEST(!tracker.isUnloading(adapter));
    BOOST_TEST(tracker.isIdle(now));
}

// Guards against an update to all nodes for each report that shows nothing new.
BOOST_FIXTURE_TEST_CASE(reportWithoutNewsChangesNoPlacement, UnloadingAdapter)
{
    const std::uint64_t changes = tracker.changes();
    now += 2s;
    BOOST_REQUIRE(tracker.nextReportRequest(now).has_value());
    tracker.report(TargetReport {1, 1, false, replicas, {}}, now);
    BOOST_TEST(tracker.isUnloading(adapter));
    BOOST_TEST(tracker.changes() == changes);
    now += 2s;
    BOOST_REQUIRE(tracker.nextReportRequest(now).has_value());
    tracker.report(TargetReport {1, 1, false, {{modelOf(0), 1, {}}, {modelOf(1), 1, {}}}, {}}, now);
    BOOST_TEST(tracker.changes() > changes);
}

// Guards against the eviction of an adapter that a node used when it reported last, while others
// are unused: its requests may still run, although it no longer reports.
BOOST_AUTO_TEST_CASE(adaptersOfASilentNodeAreEvictedLast)
{
    const core::TimePoint now(1h);
    const core::TargetId target {"t0"};
    const Artifact used {modelOf(0), {}, {"a0"}};
    DemandTracker demands;
    demands.report({"n1"}, {}, std::vector<ArtifactInFlight> {{target, used, 1}}, now);
    BOOST_TEST(demands.isPossiblyInUse(target, used));
    demands.suspendNode({"n1"}, now);
    BOOST_TEST(demands.isPossiblyInUse(target, used));
    // Requests that no node reports make no demand.
    BOOST_TEST(demands.demands(now).empty());
    BOOST_TEST(demands.loads().empty());
    // The node reports again, or its requests must have ended.
    DemandTracker returned = demands;
    returned.report({"n1"}, {}, std::vector<ArtifactInFlight>(), now + 5s);
    BOOST_TEST(!returned.isPossiblyInUse(target, used));
    demands.dropExpired(now + 60s);
    BOOST_TEST(!demands.isPossiblyInUse(target, used));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
