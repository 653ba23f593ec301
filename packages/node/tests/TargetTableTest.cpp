#include <boost/test/unit_test.hpp>

#include "TargetTable.h"

namespace boragerack::node::testing {

BOOST_AUTO_TEST_SUITE(TargetTableTest)

// Guards against a request that is sent to a target which left while its connection was opened.
BOOST_AUTO_TEST_CASE(targetThatLeftGetsNoRequest)
{
    TargetTable table;
    table.targets[{"a"}].state = platform::InstanceState::Live;
    table.targets[{"b"}].state = platform::InstanceState::Leaving;
    BOOST_TEST((sendPermission(table, {"a"}) == decisions::SendPermission::Granted));
    BOOST_TEST((sendPermission(table, {"b"}) == decisions::SendPermission::TargetLeft));
    BOOST_TEST((sendPermission(table, {"c"}) == decisions::SendPermission::TargetLeft));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::node::testing
