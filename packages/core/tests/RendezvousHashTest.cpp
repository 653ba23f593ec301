#include <boost/test/unit_test.hpp>

#include "boragerack/core/RendezvousHash.h"

namespace core = boragerack::core;

// Guards against keys that move between the remaining instances when another one is removed.
BOOST_AUTO_TEST_CASE(removingAnInstanceMovesOnlyItsKeys)
{
    std::vector<core::InstanceId> members;
    for (int i = 0; i < 20; ++i)
        members.push_back(core::InstanceId {"node-" + std::to_string(i)});
    const core::InstanceId removed = members.back();
    std::vector<core::InstanceId> remaining(members.begin(), members.end() - 1);

    for (int key = 0; key < 500; ++key) {
        const std::string name = "key-" + std::to_string(key);
        const auto before = core::rendezvousOwners(name, members, 1);
        const auto after = core::rendezvousOwners(name, remaining, 1);
        if (before.front() != removed)
            BOOST_TEST(before.front() == after.front());
    }
}

// Guards against reading past the end of the members when more owners are requested than exist.
BOOST_AUTO_TEST_CASE(ownersAreLimitedToMembers)
{
    const std::vector<core::InstanceId> members = {{"a"}, {"b"}};
    BOOST_TEST(core::rendezvousOwners("key", members, 8).size() == 2U);
    BOOST_TEST(core::rendezvousOwners("key", {}, 8).empty());
}
