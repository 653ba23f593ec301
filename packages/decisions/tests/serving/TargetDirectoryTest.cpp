#include <boost/test/unit_test.hpp>

#include "boragerack/decisions/serving/TargetDirectory.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kNow(1h);

TargetEntry entryOf(const std::string &name, std::uint64_t startedAt = 1, bool isLeaving = false)
{
    TargetEntry entry;
    entry.target.value = name;
    entry.startedAt = startedAt;
    entry.isLeaving = isLeaving;
    return entry;
}

TargetEntry entryIn(const std::string &name, const std::string &dataCentre)
{
    TargetEntry entry = entryOf(name);
    entry.dataCentre.value = dataCentre;
    return entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TargetDirectoryTest)

// Guards against requests to an evacuated data centre: to its targets in the list, to one that
// joins later, and after the list was read again; and against an evacuation that cannot be ended.
BOOST_AUTO_TEST_CASE(targetsAreEvacuatedUntilTheRequestIsWithdrawn)
{
    TargetDirectory directory;
    BOOST_TEST(!directory.handle(targets::EvacuationsListed {{{"east"}}}, kNow));
    directory.handle(targets::Listed {{entryIn("a", "east"), entryIn("b", "west")}}, kNow);
    directory.handle(targets::Updated {entryIn("c", "east")}, kNow);
    BOOST_TEST(directory.entries().at({"a"}).isEvacuated);
    BOOST_TEST(!directory.entries().at({"b"}).isEvacuated);
    BOOST_TEST(directory.entries().at({"c"}).isEvacuated);
    directory.handle(targets::PlatformFailed(), kNow + 1s);
    directory.handle(targets::Listed {{entryIn("a", "east")}}, kNow + 2s);
    BOOST_TEST(directory.entries().at({"a"}).isEvacuated);
    BOOST_TEST(directory.handle(targets::EvacuationsListed {{{"west"}}}, kNow + 3s));
    BOOST_TEST(!directory.entries().at({"a"}).isEvacuated);
    BOOST_TEST(directory.entries().at({"b"}).isEvacuated);
}

// Guards against an evacuation that is never applied, because the coordinator relays it before it
// has read the targets again.
BOOST_AUTO_TEST_CASE(relayedEvacuationWithTheTimeOfThePreviousListIsApplied)
{
    TargetDirectory directory;
    directory.handle(targets::Relayed {{{entryIn("a", "east")}}, kNow}, kNow);
    TargetEntry evacuated = entryIn("a", "east");
    evacuated.isEvacuated = true;
    directory.handle(targets::Relayed {{{evacuated}}, kNow}, kNow + 1s);
    BOOST_TEST(directory.handle(targets::Relayed {std::nullopt, kNow + 1s}, kNow + 2s));
    BOOST_TEST(directory.entries().at({"a"}).isEvacuated);
}

// Guards against a node that ends an evacuation on its own old knowledge while it follows the list
// of the coordinator, and against one that keeps the relayed marks after it has read the list.
BOOST_AUTO_TEST_CASE(relayedEntriesKeepTheirEvacuation)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryIn("a", "east")}}, kNow);
    directory.handle(targets::Confirmed {kNow}, kNow);
    TargetEntry relayed = entryIn("a", "east");
    relayed.isEvacuated = true;
    BOOST_TEST(directory.handle(targets::Relayed {{{relayed}}, kNow + 1s}, kNow + 1s));
    BOOST_TEST(directory.entries().at({"a"}).isEvacuated);
    BOOST_TEST(!directory.handle(targets::EvacuationsListed {}, kNow + 2s));
    BOOST_TEST(directory.entries().at({"a"}).isEvacuated);
    directory.handle(targets::Listed {{entryIn("a", "east")}}, kNow + 2s);
    BOOST_TEST(!directory.entries().at({"a"}).isEvacuated);
}

// Guards against requests to a target that left while the platform was available.
BOOST_AUTO_TEST_CASE(removalCountsAtOnce)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("a"), entryOf("b")}}, kNow);
    BOOST_TEST(directory.handle(targets::Removed {{"a"}}, kNow));
    BOOST_TEST(directory.entries().size() == 1U);
}

// Guards against the loss of all targets when their entries lapse during a platform outage.
BOOST_AUTO_TEST_CASE(lapsedEntriesStayForAShortTime)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("a"), entryOf("b")}}, kNow);
    directory.handle(targets::PlatformFailed(), kNow + 5s);
    directory.handle(targets::Listed {{}}, kNow + 6s);
    BOOST_TEST(directory.entries().size() == 2U);
    directory.handle(targets::Updated {entryOf("b")}, kNow + 7s);
    directory.handle(targets::Tick(), kNow + 6s + TargetDirectory::kLapseGrace);
    BOOST_TEST(directory.entries().size() == 1U);
    BOOST_TEST(directory.entries().contains({"b"}));
}

// Guards against a coordinator whose own calls failed and which relays targets that have left.
BOOST_AUTO_TEST_CASE(keptEntryIsUnconfirmedUntilThePlatformListsItAgain)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("a"), entryOf("b")}}, kNow);
    directory.handle(targets::PlatformFailed(), kNow + 5s);
    BOOST_TEST(directory.handle(targets::Listed {{entryOf("b")}}, kNow + 6s));
    BOOST_TEST(directory.entries().at({"a"}).isUnconfirmed);
    BOOST_TEST(!directory.entries().at({"b"}).isUnconfirmed);
    BOOST_TEST(!directory.handle(targets::Listed {{entryOf("b")}}, kNow + 6s));
    BOOST_TEST(directory.handle(targets::Updated {entryOf("a")}, kNow + 7s));
    BOOST_TEST(!directory.entries().at({"a"}).isUnconfirmed);
}

// Guards against a leaving target that becomes usable again through an older entry, and against a
// restarted one that remains unusable.
BOOST_AUTO_TEST_CASE(leavingIsNotTakenBack)
{
    TargetDirectory directory;
    directory.handle(targets::Updated {entryOf("a", 1, true)}, kNow);
    directory.handle(targets::Updated {entryOf("a", 1, false)}, kNow);
    BOOST_TEST(directory.entries().at({"a"}).isLeaving);
    directory.handle(targets::Updated {entryOf("a", 2, false)}, kNow);
    BOOST_TEST(!directory.entries().at({"a"}).isLeaving);
}

// Guards against a target that left and becomes usable again through a relayed list that is older
// than the node's own.
BOOST_AUTO_TEST_CASE(olderRelayedListIsNotUsed)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("b")}}, kNow);
    directory.handle(targets::Confirmed {kNow}, kNow + 3s);
    const std::vector<TargetEntry> relayed {entryOf("a"), entryOf("b")};
    BOOST_TEST(!directory.handle(targets::Relayed {relayed, kNow - 1s}, kNow + 3s));
    BOOST_TEST(directory.entries().size() == 1U);
    BOOST_TEST(!directory.isRelayed());
    BOOST_TEST((directory.contentAt() == kNow));
}

// Guards against a list that is lost because it was older than the node's own when it arrived, and
// was confirmed later without being sent again.
BOOST_AUTO_TEST_CASE(confirmedRelayedListIsUsed)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("b")}}, kNow);
    directory.handle(targets::Confirmed {kNow}, kNow);
    const std::vector<TargetEntry> relayed {entryOf("a"), entryOf("b")};
    directory.handle(targets::Relayed {relayed, kNow - 1s}, kNow);
    BOOST_TEST(directory.handle(targets::Relayed {std::nullopt, kNow + 1s}, kNow + 1s));
    BOOST_TEST(directory.entries().size() == 2U);
    BOOST_TEST(directory.isRelayed());
    BOOST_TEST((directory.contentAt() == kNow + 1s));
}

// Guards against a confirmation that counts although its list has never arrived.
BOOST_AUTO_TEST_CASE(confirmationWithoutAListIsNoContent)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("b")}}, kNow);
    directory.handle(targets::Confirmed {kNow}, kNow);
    directory.handle(targets::Relayed {std::nullopt, kNow + 5s}, kNow + 5s);
    BOOST_TEST((directory.contentAt() == kNow));
}

// Guards against a target that stays in use for the time between two lists and the grace, although
// the list before its removal was read after the failed call.
BOOST_AUTO_TEST_CASE(graceCountsFromTheLastListWithTheEntry)
{
    constexpr auto kFailedAt = kNow + 1s;
    constexpr auto kRemovedAt = kFailedAt + 1s;
    for (const bool wasListedSince : {true, false}) {
        TargetDirectory directory;
        const auto list = [&](core::TimePoint at) {
            directory.handle(targets::Listed {{entryOf("a")}}, at);
            directory.handle(targets::Confirmed {at}, at);
        };
        list(kNow);
        directory.handle(targets::PlatformFailed(), kFailedAt);
        if (wasListedSince)
            list(kFailedAt + 100ms);
        directory.handle(targets::Removed {{"a"}}, kRemovedAt);
        directory.handle(targets::Confirmed {kRemovedAt}, kRemovedAt);
        directory.handle(targets::Tick(), kFailedAt + 100ms + TargetDirectory::kLapseGrace);
        BOOST_TEST(directory.entries().empty() == wasListedSince);
        directory.handle(targets::Tick(), kRemovedAt + TargetDirectory::kLapseGrace);
        BOOST_TEST(directory.entries().empty());
    }
}

// Guards against requests to a target that left, whose entry a restored platform lists again, and
// against the loss of one that is live.
BOOST_AUTO_TEST_CASE(entryFromACopyIsNotUsedUntilItsTargetWritesIt)
{
    TargetDirectory directory;
    directory.handle(targets::Updated {entryOf("a"), 7}, kNow);
    directory.handle(targets::Updated {entryOf("b"), 7}, kNow);
    directory.handle(targets::Removed {{"a"}}, kNow);
    directory.handle(targets::Removed {{"b"}}, kNow);

    directory.handle(targets::PlatformRestored(), kNow + 5s);
    BOOST_TEST(!directory.handle(
        targets::Listed {{entryOf("a"), entryOf("b")}, {{{"a"}, 5}, {{"b"}, 7}}}, kNow + 5s));
    BOOST_TEST(directory.entries().empty());
    BOOST_TEST(directory.handle(targets::Updated {entryOf("b"), 8}, kNow + 6s));
    BOOST_TEST(directory.entries().contains({"b"}));
    // Another process of the target has not left.
    BOOST_TEST(directory.handle(targets::Updated {entryOf("a", 2), 1}, kNow + 6s));
}

// Guards against a target that is used again because the copy is older than the announcement of its
// stop, and against the entry of an earlier process of it.
BOOST_AUTO_TEST_CASE(entryFromACopyDoesNotReplaceANewerOne)
{
    TargetDirectory directory;
    directory.handle(targets::Updated {entryOf("a", 2, true), 7}, kNow);
    directory.handle(targets::Updated {entryOf("b", 2), 7}, kNow);
    directory.handle(targets::PlatformRestored(), kNow + 5s);
    directory.handle(
        targets::Listed {{entryOf("a", 2), entryOf("b", 1)}, {{{"a"}, 5}, {{"b"}, 90}}}, kNow + 5s);
    BOOST_TEST(directory.entries().at({"a"}).isLeaving);
    BOOST_TEST(directory.entries().at({"b"}).startedAt == 2U);
    directory.handle(targets::Removed {{"a"}}, kNow + 6s);
    directory.handle(targets::Updated {entryOf("a", 2), 9}, kNow + 7s);
    BOOST_TEST(directory.entries().at({"a"}).isLeaving);
}

// Guards against the loss of targets that joined after the copy was made.
BOOST_AUTO_TEST_CASE(entryThatIsMissingAfterARestoreStaysForAShortTime)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("a"), entryOf("b")}}, kNow);
    directory.handle(targets::PlatformRestored(), kNow + 5s);
    directory.handle(targets::Listed {{entryOf("a")}}, kNow + 5s);
    BOOST_TEST(directory.entries().contains({"b"}));
    directory.handle(targets::Tick(), kNow + 5s + TargetDirectory::kLapseGrace);
    BOOST_TEST(!directory.entries().contains({"b"}));
}

// Guards against a log that does not show which list brought a removed target back.
BOOST_AUTO_TEST_CASE(returnOfARemovedTargetIsReportedOnce)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("a"), entryOf("b")}}, kNow);
    directory.handle(targets::Listed {}, kNow + 1s);
    directory.handle(targets::Updated {entryOf("a")}, kNow + 2s);
    // Another process of the target has not left.
    directory.handle(targets::Updated {entryOf("b", 2)}, kNow + 2s);
    const auto returned = directory.takeReturned();
    BOOST_REQUIRE(returned.size() == 1U);
    BOOST_TEST((returned.front() == entryOf("a").process()));
    BOOST_TEST(directory.takeReturned().empty());
}

// Guards against a target that left and gets requests again, because the confirmation of another
// list puts the last relayed one into force (review/8, DRAIN).
BOOST_AUTO_TEST_CASE(confirmationOfAnotherListIsIgnored)
{
    TargetDirectory directory;
    directory.handle(targets::Relayed {{{entryOf("a"), entryOf("b")}}, kNow, {5, 1}}, kNow);
    directory.handle(targets::Listed {{entryOf("b")}}, kNow + 1s);
    directory.handle(targets::Confirmed {kNow + 1s}, kNow + 1s);
    BOOST_TEST(!directory.entries().contains({"a"}));
    BOOST_TEST(!directory.handle(targets::Relayed {std::nullopt, kNow + 2s, {6, 1}}, kNow + 2s));
    BOOST_TEST(!directory.entries().contains({"a"}));
    BOOST_TEST((directory.contentAt() == kNow + 1s));
}

// Guards against requests to a target whose removal this node has read, because a relayed list with
// the content of the time between the call and its answer brings it back (review/8, DRAIN); and
// against the loss of a target that joined in that time.
BOOST_AUTO_TEST_CASE(relayedListOfBeforeAnAnswerDoesNotReplaceIt)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("a"), entryOf("b")}}, kNow);
    directory.handle(targets::Confirmed {kNow}, kNow);
    constexpr auto kSentAt = kNow + 1s;
    constexpr auto kAnsweredAt = kNow + 3s;
    directory.handle(targets::Removed {{"a"}}, kAnsweredAt);
    directory.handle(targets::Updated {entryOf("c")}, kAnsweredAt);
    directory.handle(targets::Confirmed {kSentAt}, kAnsweredAt);
    const std::vector<TargetEntry> relayed {entryOf("a"), entryOf("b")};
    directory.handle(targets::Relayed {relayed, kNow + 2s, {5, 1}}, kAnsweredAt);
    BOOST_TEST(!directory.entries().contains({"a"}));
    BOOST_TEST(directory.entries().contains({"c"}));
    // The list that the coordinator read later is the same, since the targets have changed back.
    directory.handle(targets::Relayed {std::nullopt, kNow + 4s, {5, 1}}, kNow + 4s);
    BOOST_TEST(directory.entries().contains({"a"}));
    BOOST_TEST(!directory.entries().contains({"c"}));
}

// Guards against a list that counts as current although an answer that was handled late, and is
// older than the relayed list, still counts for some targets.
BOOST_AUTO_TEST_CASE(listIsNotCurrentWhileALateAnswerCountsForSomeTargets)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("a")}}, kNow + 3s);
    directory.handle(targets::Confirmed {kNow}, kNow + 3s);
    directory.handle(targets::Relayed {{{}}, kNow + 2s, {5, 1}}, kNow + 3s);
    BOOST_TEST((directory.contentAt() == kNow));
    directory.handle(targets::Relayed {std::nullopt, kNow + 4s, {5, 1}}, kNow + 4s);
    BOOST_TEST((directory.contentAt() == kNow + 4s));
    BOOST_TEST(directory.entries().empty());
}

// Guards against requests to a target that the complete list did not contain, because a relayed
// list with the content of the time before the answer names it (review/8, DRAIN).
BOOST_AUTO_TEST_CASE(relayedListOfBeforeACompleteListIsNotUsed)
{
    TargetDirectory directory;
    directory.handle(targets::Listed {{entryOf("b")}}, kNow + 2s);
    directory.handle(targets::Confirmed {kNow}, kNow + 2s);
    const std::vector<TargetEntry> relayed {entryOf("a"), entryOf("b")};
    BOOST_TEST(!directory.handle(targets::Relayed {relayed, kNow + 1s, {5, 1}}, kNow + 2s));
    BOOST_TEST(!directory.entries().contains({"a"}));
}

// Guards against requests to a target that left, whose entry a restored platform lists again to a
// node that follows the list of the coordinator and has read the entry itself long before.
BOOST_AUTO_TEST_CASE(relayedListKeepsTheHeartbeatsThatThisNodeHasRead)
{
    TargetDirectory directory;
    directory.handle(targets::Updated {entryOf("a"), 7}, kNow);
    directory.handle(targets::Relayed {{{entryOf("a")}}, kNow + 1s, {5, 1}}, kNow + 1s);
    directory.handle(targets::Relayed {{{}}, kNow + 2s, {5, 2}}, kNow + 2s);
    BOOST_TEST(directory.entries().empty());
    directory.handle(targets::PlatformRestored(), kNow + 5s);
    directory.handle(targets::Listed {{entryOf("a")}, {{{"a"}, 5}}}, kNow + 5s);
    BOOST_TEST(directory.entries().empty());
    directory.handle(targets::Updated {entryOf("a"), 8}, kNow + 6s);
    BOOST_TEST(directory.entries().contains({"a"}));
}

// Guards against a node that takes its targets for empty after a restore: the copy is older than
// the heartbeat that it knows, but relayed entries name no replicas.
BOOST_AUTO_TEST_CASE(replicasOfACopyCountWhereTheListWasRelayed)
{
    TargetDirectory directory;
    TargetEntry entry = entryOf("a");
    entry.replicas = {{{"m"}, 1, {}}};
    directory.handle(targets::Updated {entry, 7}, kNow);
    directory.handle(targets::Relayed {{{entryOf("a")}}, kNow + 1s, {5, 1}}, kNow + 1s);
    directory.handle(targets::PlatformRestored(), kNow + 5s);
    directory.handle(targets::Listed {{entry}, {{{"a"}, 5}}}, kNow + 5s);
    BOOST_TEST((directory.entries().at({"a"}).replicas == entry.replicas));
}

// Guards against requests to a target that left, whose entry a restored platform lists again to a
// node that knows the target from relayed lists only.
BOOST_AUTO_TEST_CASE(entryFromACopyIsNotUsedIfItsHeartbeatIsUnknown)
{
    TargetDirectory directory;
    directory.handle(targets::Relayed {{{entryOf("a")}}, kNow + 1s, {5, 1}}, kNow + 1s);
    directory.handle(targets::Relayed {{{}}, kNow + 2s, {5, 2}}, kNow + 2s);
    directory.handle(targets::PlatformRestored(), kNow + 5s);
    directory.handle(targets::Listed {{entryOf("a")}, {{{"a"}, 5}}}, kNow + 5s);
    BOOST_TEST(directory.entries().empty());
    directory.handle(targets::Listed {{entryOf("a")}, {{{"a"}, 5}}}, kNow + 6s);
    BOOST_TEST(directory.entries().empty());
    directory.handle(targets::Updated {entryOf("a"), 6}, kNow + 7s);
    BOOST_TEST(directory.entries().contains({"a"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
