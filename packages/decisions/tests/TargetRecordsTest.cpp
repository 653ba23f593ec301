#include <boost/test/unit_test.hpp>

#include "boragerack/decisions/TargetRecords.h"

namespace boragerack::decisions::testing {

namespace {

Versioned<TargetRecord> recordOf(const std::string &target, std::uint64_t version)
{
    TargetRecord record;
    record.target.value = target;
    record.memoryMiB = version;
    return {version, record};
}

} // namespace

BOOST_AUTO_TEST_SUITE(TargetRecordsTest)

// Guards against requests to a replica that was unloaded, because the answer to a call that began
// before a complete read arrives after it.
BOOST_AUTO_TEST_CASE(answersInAnotherOrderDoNotRestoreOldRecords)
{
    TargetRecords records;
    records.update(recordOf("a", 3));
    records.replace(9, {recordOf("a", 8), recordOf("b", 2)});
    records.update(recordOf("a", 5));
    BOOST_TEST(records.records().at({"a"}).record.memoryMiB == 8U);
    records.update(recordOf("c", 11));
    records.replace(10, {recordOf("a", 8)});
    BOOST_TEST(records.records().contains({"c"}));
    BOOST_TEST(!records.records().contains({"b"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
