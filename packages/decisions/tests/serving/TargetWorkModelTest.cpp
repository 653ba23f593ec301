#include <boost/test/unit_test.hpp>

#include "boragerack/decisions/serving/TargetWorkModel.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kNow(1h);
const TargetProcess kProcess {{"a"}, 1};
const InteractiveService kService {{"engine"}, 400ms, 2};
constexpr RequestWork kWork {600, 70};

} // namespace

BOOST_AUTO_TEST_SUITE(TargetWorkModelTest)

// Guards against a count below zero: a target left the list and came back while its requests were
// in progress, and the node took it for overloaded from then on.
BOOST_AUTO_TEST_CASE(targetThatComesBackKeepsItsRequests)
{
    TargetWorkModel model;
    const core::Duration idle = model.predict(kProcess, kService, kWork, 0, kNow);
    model.begin(1, kProcess, kService, kWork, 0, kNow);
    model.begin(2, kProcess, kService, kWork, 0, kNow);
    model.retain([](const TargetProcess &) { return false; });
    model.begin(3, kProcess, kService, kWork, 0, kNow);
    BOOST_TEST(model.ownRequests(kProcess) == 3U);
    for (const std::uint64_t request : {1, 2, 3, 3})
        model.end(request, std::nullopt, false, kNow);
    BOOST_TEST(model.ownRequests(kProcess) == 0U);
    BOOST_TEST((model.predict(kProcess, kService, kWork, 0, kNow) == idle));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
