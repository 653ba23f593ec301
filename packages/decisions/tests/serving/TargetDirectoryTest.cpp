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

} // namespace

BOOST_AUTO_TEST_SUITE(TargetDirectoryTest)

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
