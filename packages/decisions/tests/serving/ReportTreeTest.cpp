#include <boost/test/unit_test.hpp>

#include <map>

#include "boragerack/decisions/serving/ReportTree.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kNow(1h);

CoordinationReport reportOf(std::size_t number, std::uint32_t processorShare = 100)
{
    CoordinationReport report;
    report.member = {{"n" + std::to_string(number)}, "a:1", {"x"}, "a:2", processorShare};
    return report;
}

/// Lets all nodes report directly once; returns the relay of each node that got one.
std::map<core::InstanceId, core::InstanceId> join(ReportTree &tree, std::size_t nodes)
{
    std::map<core::InstanceId, core::InstanceId> relays;
    for (std::size_t i = 0; i < nodes; ++i) {
        const CoordinationReport report = reportOf(i);
        if (const auto relay = tree.report(report, kNow))
            relays[report.member.instance] = relay->instance;
    }
    return relays;
}

std::size_t maxChildren(const std::map<core::InstanceId, core::InstanceId> &relays)
{
    std::map<core::InstanceId, std::size_t> counts;
    std::size_t result = 0;
    for (const auto &[node, relay] : relays)
        result = std::max(result, ++counts[relay]);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReportTreeTest)

// Guards against a coordinator or relay whose number of correspondents grows with the fleet.
BOOST_AUTO_TEST_CASE(fanOutIsBounded)
{
    for (const std::size_t nodes : {7U, 30U, 100U, 300U, 600U}) {
        ReportTree tree;
        const auto relays = join(tree, nodes);
        BOOST_TEST(tree.directCount() <= ReportTree::kMaxFanOut);
        BOOST_TEST(maxChildren(relays) <= ReportTree::kMaxFanOut);
        for (const auto &[node, relay] : relays)
            BOOST_TEST(!relays.contains(relay));
    }
    ReportTree tree;
    const auto relays = join(tree, 1000);
    // Beyond two levels of this fan-out, the direct nodes are those that no relay has room for.
    BOOST_TEST(maxChildren(relays) <= ReportTree::kMaxFanOut);
    BOOST_TEST(tree.directCount() <= 1000 / ReportTree::kMaxFanOut + 1);
}

// Guards against a node that is sent back to the relay that did not answer it.
BOOST_AUTO_TEST_CASE(unresponsiveRelayIsNotAssignedAgain)
{
    ReportTree first;
    for (const auto &[node, relay] : join(first, 100)) {
        ReportTree tree;
        join(tree, 100);
        CoordinationReport report = reportOf(0);
        report.member.instance = node;
        report.unresponsiveRelay = relay;
        const auto next = tree.report(report, kNow);
        BOOST_TEST((next && next->instance != relay));
    }
}

// Guards against nodes that are redirected to relays which none of them reaches, over and over,
// until the coordinator has no time for its lease.
BOOST_AUTO_TEST_CASE(unresponsiveRelayGetsNoOtherChildren)
{
    ReportTree tree;
    const auto relays = join(tree, 100);
    const auto [node, relay] = *relays.begin();
    CoordinationReport report = reportOf(0);
    report.member.instance = node;
    report.unresponsiveRelay = relay;
    tree.report(report, kNow);
    for (std::size_t i = 100; i < 200; ++i) {
        const auto next = tree.report(reportOf(i, 90), kNow);
        BOOST_TEST((!next || next->instance != relay));
    }
    // It is tried again later.
    bool isChosen = false;
    for (std::size_t i = 200; i < 300; ++i) {
        const auto next =
            tree.report(reportOf(i, 90), kNow + ReportTree::kUnresponsivePeriod + 1ms);
        isChosen = isChosen || (next && next->instance == relay);
    }
    BOOST_TEST(isChosen);
}

// Guards against a new coordinator that breaks up a tree that works, and so receives the first
// reports of the whole fleet.
BOOST_AUTO_TEST_CASE(relaysOfAPreviousCoordinatorKeepTheirChildren)
{
    ReportTree former;
    const auto relays = join(former, 300);
    ReportTree tree;
    for (std::size_t i = 0; i < ReportTree::kMaxFanOut; ++i) {
        CoordinationReport report = reportOf(i);
        for (const auto &[node, relay] : relays) {
            if (relay == report.member.instance)
                report.children.push_back({{node, "a:1", {"x"}, "a:2", 100}, false, {}});
        }
        BOOST_TEST(!tree.report(report, kNow));
    }
    BOOST_TEST(tree.directCount() == ReportTree::kMaxFanOut);
}

// Guards against relays on small machines that get as many children as large ones.
BOOST_AUTO_TEST_CASE(largerMachinesGetMoreChildren)
{
    ReportTree tree;
    tree.report(reportOf(0, 500), kNow);
    for (std::size_t i = 1; i < ReportTree::kMaxFanOut; ++i)
        tree.report(reportOf(i, 90), kNow);
    std::map<core::InstanceId, std::size_t> counts;
    for (std::size_t i = ReportTree::kMaxFanOut; i < 60; ++i)
        ++counts[tree.report(reportOf(i, 90), kNow)->instance];
    for (const auto &[relay, children] : counts)
        BOOST_TEST((relay == reportOf(0).member.instance || children < counts[{"n0"}]));
}

// Guards against children of a removed relay that are taken for nodes which still have one.
BOOST_AUTO_TEST_CASE(removedRelayIsReplaced)
{
    ReportTree tree;
    const auto relays = join(tree, 60);
    const auto [node, relay] = *relays.begin();
    tree.remove(relay);
    CoordinationReport report = reportOf(0);
    report.member.instance = node;
    const auto next = tree.report(report, kNow);
    BOOST_TEST((!next || next->instance != relay));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
