#include <boost/test/unit_test.hpp>

#include <map>

#include "boragerack/decisions/MultipleOwnersPolicy.h"

using namespace boragerack::decisions;
namespace core = boragerack::core;

namespace {

std::vector<core::InstanceId> makeMembers(std::size_t count)
{
    std::vector<core::InstanceId> members;
    for (std::size_t i = 0; i < count; ++i)
        members.push_back({"node-" + std::to_string(i)});
    return members;
}

std::size_t countMoves(std::size_t memberCount)
{
    const MultipleOwnersPolicy policy;
    const auto members = makeMembers(memberCount);
    const auto remaining = makeMembers(memberCount - 1);
    std::size_t moves = 0;
    for (std::uint32_t shard = 0; shard < policy.shardCount(); ++shard) {
        const auto before = policy.preferredOwners(shard, members);
        const auto after = policy.preferredOwners(shard, remaining);
        for (std::size_t i = 0; i < before.size(); ++i)
            moves += before[i] != after[i] ? 1 : 0;
    }
    return moves;
}

} // namespace

// Guards against an assignment in which the failure of one member stops a large part of an
// organisation's rate.
BOOST_AUTO_TEST_CASE(sharesOfShardAreSpread)
{
    const MultipleOwnersPolicy policy;
    for (const auto &[memberCount, maxPerMember] :
         std::map<std::size_t, int> {{1, 8}, {7, 2}, {20, 1}}) {
        const auto members = makeMembers(memberCount);
        for (std::uint32_t shard = 0; shard < policy.shardCount(); ++shard) {
            std::map<core::InstanceId, int> counts;
            for (const core::InstanceId &owner : policy.preferredOwners(shard, members))
                BOOST_TEST(++counts[owner] <= maxPerMember);
        }
    }
    BOOST_TEST(policy.preferredOwners(0, {}).empty());
}

// Guards against an assignment that moves most shares when one member leaves; each move
// costs a warm-up.
BOOST_AUTO_TEST_CASE(leavingMemberMovesFewShares)
{
    constexpr std::size_t kTotalShares = 512;
    // A member owns 512/n shares; the limit on shares per member moves a few more.
    BOOST_TEST(countMoves(360) <= 6U);
    BOOST_TEST(countMoves(20) <= 2 * kTotalShares / 20);
    BOOST_TEST(countMoves(7) <= 2 * kTotalShares / 7);
}
