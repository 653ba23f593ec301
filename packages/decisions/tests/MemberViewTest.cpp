#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "boragerack/charts/ChartParser.h"
#include "boragerack/decisions/MemberView.h"
#include "boragerack/decisions/Overlay.h"

using namespace std::chrono_literals;
using namespace boragerack::decisions;
namespace charts = boragerack::charts;
namespace core = boragerack::core;

namespace {

const core::TimePoint kStart {1000s};

MemberRecord makeRecord(const std::string &name, std::uint64_t version)
{
    MemberRecord record;
    record.instance = {name};
    record.incarnation = 1;
    record.version = version;
    return record;
}

MemberView makeView()
{
    const auto chart = charts::loadChart(BORAGERACK_CHARTS_DIR, "member");
    MemberView view(core::valueOf(MemberView::bind(core::valueOf(chart))), makeRecord("a", 0));
    view.handle(MemberView::RecordsRead {true,
                                         10,
                                         {makeRecord("a", 1), makeRecord("b", 2),
                                          makeRecord("c", 3), makeRecord("d", 4)}},
                kStart);
    return view;
}

template<class Action>
std::size_t countOf(const std::vector<MemberView::Action> &actions)
{
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(), [](const MemberView::Action &action) {
            return std::holds_alternative<Action>(action);
        }));
}

MemberView::EventReceived makeEvent(MemberEventKind kind, const std::string &name,
                                    std::uint32_t refutation)
{
    return {{kind, makeRecord(name, 0), refutation}};
}

} // namespace

// Guards against a suspected member that keeps its role, and a refuted one that does not regain it.
BOOST_AUTO_TEST_CASE(suspectedMemberHasNoRoleUntilRefutation)
{
    MemberView view = makeView();
    const core::InstanceId peer {"b"};
    const auto isOwner = [&] {
        const auto owners = view.owners("key", 4);
        return std::find(owners.begin(), owners.end(), peer) != owners.end();
    };
    BOOST_TEST(countOf<MemberView::DisseminateEvent>(
                   view.handle(MemberView::PeerUnresponsive {peer}, kStart))
               == 1U);
    BOOST_TEST(!isOwner());
    BOOST_TEST(view.ring().size() == 4U);
    view.handle(makeEvent(MemberEventKind::Refuted, "b", 1), kStart + 1s);
    BOOST_TEST(isOwner());
    // A delayed copy of the refuted suspicion has no effect.
    const auto delayed = view.handle(makeEvent(MemberEventKind::Suspected, "b", 0), kStart + 20s);
    BOOST_TEST(delayed.empty());
    BOOST_TEST(isOwner());
    view.handle(makeEvent(MemberEventKind::Suspected, "b", 1), kStart + 21s);
    BOOST_TEST(!isOwner());
    view.handle(MemberView::PeerResponded {peer, 1, 1}, kStart + 22s);
    BOOST_TEST(isOwner());
}

// Guards against a live node that remains suspected because it does not refute the suspicion.
BOOST_AUTO_TEST_CASE(nodeRefutesSuspicionOfItself)
{
    MemberView view = makeView();
    const auto actions = view.handle(makeEvent(MemberEventKind::Suspected, "a", 0), kStart);
    BOOST_REQUIRE(countOf<MemberView::DisseminateEvent>(actions) == 1U);
    const auto &event = std::get<MemberView::DisseminateEvent>(actions.front()).event;
    BOOST_TEST((event.kind == MemberEventKind::Refuted));
    BOOST_TEST(event.refutation == 1U);
}

// Guards against removing a member that is only unresponsive, was never listed, or was missing from
// a single read.
BOOST_AUTO_TEST_CASE(onlyInstanceMissingForRemovalDelayIsRemoved)
{
    MemberView view = makeView();
    const auto removals = [&](std::set<core::InstanceId> instances, std::chrono::seconds after) {
        return countOf<MemberView::RemoveRecord>(
            view.handle(MemberView::InstancesRead {std::move(instances)}, kStart + after));
    };
    BOOST_TEST(removals({{"a"}, {"b"}, {"c"}}, 0s) == 0U);
    BOOST_TEST(removals({{"a"}, {"b"}}, 1s) == 0U);
    BOOST_TEST(removals({{"a"}, {"b"}, {"c"}}, 20s) == 0U);
    BOOST_TEST(removals({{"a"}, {"b"}}, 40s) == 0U);
    BOOST_TEST(removals({{"a"}, {"b"}}, 69s) == 0U);
    BOOST_TEST(removals({{"a"}, {"b"}}, 70s) == 1U);
}

// Guards against a removed member that is restored by an old record from a peer.
BOOST_AUTO_TEST_CASE(oldPeerRecordDoesNotRestoreRemovedMember)
{
    MemberView view = makeView();
    MemberRecord removed = makeRecord("b", 12);
    removed.isRemoved = true;
    view.handle(MemberView::EventReceived {{MemberEventKind::Record, removed, 0}}, kStart);
    view.handle(MemberView::TableReceived {{makeRecord("b", 2)}}, kStart);
    BOOST_TEST(view.ring().size() == 3U);
    view.handle(MemberView::TableReceived {{makeRecord("b", 13)}}, kStart);
    BOOST_TEST(view.ring().size() == 4U);
}

// Guards against two nodes whose records differ and that do not detect it, or do not converge.
BOOST_AUTO_TEST_CASE(exchangedDifferencesMakeViewsConverge)
{
    MemberView left = makeView();
    MemberView right = makeView();
    left.handle(MemberView::EventReceived {{MemberEventKind::Record, makeRecord("e", 20), 0}},
                kStart);
    BOOST_TEST(left.hash() != right.hash());
    right.handle(MemberView::TableReceived {left.differences(right.bucketHashes())}, kStart);
    BOOST_TEST(left.hash() == right.hash());
    BOOST_TEST(left.differences(right.bucketHashes()).empty());
}

// Guards against links that do not reach every member in a logarithmic number of steps.
BOOST_AUTO_TEST_CASE(fingerLinksReachAllMembersInLogarithmicSteps)
{
    for (const std::size_t size : {1U, 2U, 7U, 60U, 360U}) {
        std::vector<core::InstanceId> ring;
        for (std::size_t i = 0; i < size; ++i)
            ring.push_back({"node-" + std::to_string(i)});
        std::set<core::InstanceId> reached = {ring[0]};
        std::vector<core::InstanceId> frontier = {ring[0]};
        std::size_t steps = 0;
        for (; reached.size() < size && steps < 20; ++steps) {
            std::vector<core::InstanceId> next;
            for (const core::InstanceId &node : frontier) {
                for (const core::InstanceId &link : fingerLinks(ring, node)) {
                    if (reached.insert(link).second)
                        next.push_back(link);
                }
            }
            frontier = next;
        }
        BOOST_TEST(reached.size() == size);
        BOOST_TEST(steps <= fingerLinks(ring, ring[0]).size());
    }
}
