#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "BudgetScenario.h"
#include "boragerack/decisions/ShareTable.h"
#include "boragerack/decisions/SingleOwnerPolicy.h"

namespace decisions = boragerack::decisions;
using namespace std::chrono_literals;
using namespace boragerack::decisions;

namespace {

const boragerack::core::InstanceId kSelf = {"node-0"};
const boragerack::core::InstanceId kOther = {"node-1"};
const ShareKey kShare = {3, 0};
const TimePoint kStart {};

ShareTable makeTable(std::uint64_t incarnation, const BudgetFaults &faults = {})
{
    static const SingleOwnerPolicy policy;
    static const auto chart = decisions::testing::loadShareChart();
    return {ShareOwner {kSelf, incarnation}, chart, policy, faults};
}

template<class Action>
std::optional<Action> findAction(const std::vector<ShareTableAction> &actions)
{
    for (const ShareTableAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action))
            return *found;
    }
    return std::nullopt;
}

/// Returns a table at version 5 in which this process has granted from kShare since `kStart + 3s`.
ShareTable makeGrantingTable(const BudgetFaults &faults = {})
{
    ShareTable table = makeTable(2, faults);
    table.handle(ShareTableRead {5, {{kShare, {kSelf, 2}}}}, kStart);
    table.handle(ShareTableTimerFired {}, kStart + 3s);
    BOOST_REQUIRE(table.stateOf(kShare) == ShareState::Granting);
    return table;
}

bool grantsWithoutWarmUp(const BudgetFaults &faults)
{
    ShareTable table = makeTable(2, faults);
    return findAction<ShareGrantingStarted>(
               table.handle(ShareTableRead {5, {{kShare, {kSelf, 2}}}}, kStart))
        .has_value();
}

bool grantsAfterRestartWithoutWrite(const BudgetFaults &faults)
{
    ShareTable table = makeTable(3, faults);
    table.handle(ShareTableRead {5, {{kShare, {kSelf, 2}}}}, kStart);
    return findAction<ShareGrantingStarted>(table.handle(ShareTableTimerFired {}, kStart + 3s))
        .has_value();
}

bool grantsAfterReadOfOldVersion(const BudgetFaults &faults)
{
    ShareTable table = makeGrantingTable(faults);
    table.handle(ShareTableRead {6, {{kShare, {kOther, 1}}}}, kStart + 4s);
    table.handle(ShareTableRead {5, {{kShare, {kSelf, 2}}}}, kStart + 5s);
    return findAction<ShareGrantingStarted>(table.handle(ShareTableTimerFired {}, kStart + 8s))
        .has_value();
}

bool stopsBeforeReleaseIsWritten(const BudgetFaults &faults)
{
    ShareTable table = makeGrantingTable(faults);
    const auto actions = table.handle(ShareReleaseRequested {}, kStart + 4s);
    BOOST_TEST(findAction<WriteShareTable>(actions).has_value());
    return findAction<ShareGrantingStopped>(actions).has_value();
}

/// Returns whether the shares of an instance missing from the list are claimed after the given
/// time.
bool claimsFromMissingInstance(std::chrono::seconds absence, const BudgetFaults &faults)
{
    ShareTable table = makeTable(1, faults);
    table.handle(BudgetMembersChanged {{kSelf}}, kStart);
    table.handle(InstanceListRead {{kSelf, kOther}}, kStart);
    ShareOwners owners;
    for (std::uint32_t shard = 0; shard < 64; ++shard)
        owners.emplace(ShareKey {shard, 0}, ShareOwner {kOther, 1});
    table.handle(ShareTableRead {5, owners}, kStart);
    std::optional<WriteShareTable> write =
        findAction<WriteShareTable>(table.handle(InstanceListRead {{kSelf}}, kStart + 1s));
    if (!write)
        write = findAction<WriteShareTable>(
            table.handle(InstanceListRead {{kSelf}}, kStart + 1s + absence));
    return write.has_value();
}

} // namespace

// Guards against granting while portions of the previous owner can still be spent.
BOOST_AUTO_TEST_CASE(newOwnerWarmsUp)
{
    BOOST_TEST(!grantsWithoutWarmUp({}));
    BOOST_TEST(grantsWithoutWarmUp({.skipWarmUp = true}));
    ShareTable table = makeTable(2);
    table.handle(ShareTableRead {5, {{kShare, {kSelf, 2}}}}, kStart);
    BOOST_TEST((table.nextTimer() == kStart + kPortionLifetimeWithDrift));
    BOOST_TEST(table.handle(ShareTableTimerFired {}, kStart + 2019ms).empty());
    BOOST_TEST(
        findAction<ShareGrantingStarted>(table.handle(ShareTableTimerFired {}, kStart + 2020ms))
            .has_value());
}

// Guards against a release by the previous process that takes effect after the restarted process
// has read the table: two processes would then grant from one share.
BOOST_AUTO_TEST_CASE(restartedProcessWritesBeforeGranting)
{
    BOOST_TEST(!grantsAfterRestartWithoutWrite({}));
    BOOST_TEST(grantsAfterRestartWithoutWrite({.keepWithoutClaim = true}));
    ShareTable table = makeTable(3);
    const auto write = findAction<WriteShareTable>(
        table.handle(ShareTableRead {5, {{kShare, {kSelf, 2}}}}, kStart));
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(write->expectedVersion == 5U);
    BOOST_TEST((write->owners.at(kShare) == ShareOwner {kSelf, 3}));
    table.handle(ShareTableWritten {6}, kStart + 1s);
    BOOST_TEST((table.stateOf(kShare) == ShareState::WarmingUp));
}

// Guards against an older table version that arrives late and restores a share that has moved.
BOOST_AUTO_TEST_CASE(olderVersionIsIgnored)
{
    BOOST_TEST(!grantsAfterReadOfOldVersion({}));
    BOOST_TEST(grantsAfterReadOfOldVersion({.acceptOlderTable = true}));
}

// Guards against granting when the release may already have taken effect.
BOOST_AUTO_TEST_CASE(grantingStopsBeforeRelease)
{
    BOOST_TEST(stopsBeforeReleaseIsWritten({}));
    BOOST_TEST(!stopsBeforeReleaseIsWritten({.grantWhileReleasing = true}));
}

// Guards against claiming the shares of an instance that a single stale list does not contain.
BOOST_AUTO_TEST_CASE(shareIsClaimedOnlyFromPermanentlyAbsentInstance)
{
    BOOST_TEST(!claimsFromMissingInstance(29s, {}));
    BOOST_TEST(claimsFromMissingInstance(30s, {}));
    BOOST_TEST(claimsFromMissingInstance(1s, {.claimAfterOneMissedRead = true}));
}

// Guards against sending a different write while one with an unknown outcome can still take effect.
BOOST_AUTO_TEST_CASE(unknownWriteOutcomeIsResolvedByRead)
{
    ShareTable table = makeGrantingTable();
    const auto release =
        findAction<WriteShareTable>(table.handle(ShareReleaseRequested {}, kStart + 4s));
    BOOST_REQUIRE(release.has_value());
    BOOST_TEST(findAction<ReadShareTable>(table.handle(ShareTableWriteUnknown {}, kStart + 5s))
                   .has_value());
    const auto repeated = findAction<WriteShareTable>(
        table.handle(ShareTableRead {5, {{kShare, {kSelf, 2}}}}, kStart + 6s));
    BOOST_TEST((repeated == release));
    BOOST_TEST(!table.hasReleasedAll());
    table.handle(ShareTableRead {6, {}}, kStart + 7s);
    BOOST_TEST(table.hasReleasedAll());
    BOOST_TEST((table.stateOf(kShare) == ShareState::Unowned));
}

// Guards against a share that never moves to its new preferred owner, or moves without a delay.
BOOST_AUTO_TEST_CASE(shareMovesWhenPreferenceLasts)
{
    ShareTable table = makeGrantingTable();
    table.handle(BudgetMembersChanged {{kOther}}, kStart + 10s);
    BOOST_TEST((table.nextTimer() == kStart + 40s));
    BOOST_TEST(table.handle(ShareTableTimerFired {}, kStart + 39s).empty());
    const auto write =
        findAction<WriteShareTable>(table.handle(ShareTableTimerFired {}, kStart + 40s));
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(write->owners.empty());
}
