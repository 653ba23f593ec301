#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>

#include "QuarantineTask.h"
#include "boragerack/core/Clock.h"
#include "boragerack/runtime/FiberRuntime.h"

namespace boragerack::node::tests {

namespace {

using namespace std::chrono_literals;

class RecordingMessenger final : public QuarantineMessenger
{
public:
    void reportCrash(const decisions::quarantine::CrashReport &report) override
    {
        crashes.push_back(report);
    }
    void reportCompletion(const decisions::quarantine::Completed &) override { }
    void reportRefusal(const decisions::quarantine::Notice &notice) override
    {
        refusals.push_back(notice);
    }
    void announce(const decisions::quarantine::Notice &) override { }

    std::vector<decisions::quarantine::CrashReport> crashes;
    std::vector<decisions::quarantine::Notice> refusals;
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineTaskTest)

// Guards against a request that crashes targets again, because the node that counted its crashes
// has left and its successor knows neither them nor the refusals.
BOOST_AUTO_TEST_CASE(successorOfTheOwnerGetsCrashesAndRefusals)
{
    runtime::FiberRuntime fibers;
    core::MonotonicClock clock;
    RecordingMessenger messenger;
    QuarantineTask task(messenger, clock);
    task.start();
    const core::Digest crashing = core::makeDigest("crashing");
    const core::Digest refused = core::makeDigest("refused");
    BOOST_REQUIRE(task.trySend(decisions::quarantine::Notice {refused, 60s}));
    BOOST_REQUIRE(
        task.trySend(TargetsCrashed {{{.fingerprint = crashing, .origin = crashing}},
                                     {{{"r", 1}, "target", clock.now() - 10ms, clock.now()}}}));
    boost::this_fiber::sleep_for(20ms);
    BOOST_TEST(messenger.crashes.size() == 1U);
    BOOST_TEST(messenger.refusals.empty());

    BOOST_REQUIRE(task.trySend(QuarantineOwnerChanged()));
    boost::this_fiber::sleep_for(20ms);
    BOOST_TEST_REQUIRE(messenger.crashes.size() == 2U);
    BOOST_TEST((messenger.crashes.back().fingerprint == crashing));
    BOOST_TEST_REQUIRE(messenger.refusals.size() == 1U);
    BOOST_TEST((messenger.refusals.front().fingerprint == refused));
    task.stop();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::node::tests
