#include <boost/test/unit_test.hpp>

#include "RequestCharts.h"
#include "boragerack/decisions/AttemptController.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kNow(1h);

AttemptController makeAttempt(bool refusalProvesNotRun)
{
    AttemptParameters plan;
    plan.request = "r";
    plan.policy = SendPolicy::AtMostOnce;
    plan.deadline = kNow + 10s;
    plan.maxAttempts = 1;
    plan.refusalProvesNotRun = refusalProvesNotRun;
    plan.maxRefusals = 2;
    return AttemptController(makeAttemptBinding(), plan);
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptRefusalTest)

// Guards against a request that is given up because its first target had just crashed, although no
// byte of it was sent.
BOOST_AUTO_TEST_CASE(unopenedConnectionIsNoAttempt)
{
    AttemptController request = makeAttempt(true);
    request.handle(attempt::Dispatch {{"a"}}, kNow);
    request.handle(attempt::ConnectionLost {request.current(), false}, kNow);
    BOOST_TEST(!request.isFinished());
    request.handle(attempt::Dispatch {{"b"}}, kNow);
    request.handle(attempt::Connected {request.current()}, kNow);
    request.handle(attempt::ConnectionLost {request.current(), false}, kNow);
    BOOST_TEST(request.isFinished());
    BOOST_TEST((request.verdict() == core::Verdict::MayHaveRun));
}

// Guards against a refusal that is told as "may have run" although the target says that it has not,
// and against the opposite where its word is no proof.
BOOST_AUTO_TEST_CASE(refusalGivesTheVerdictBack)
{
    for (const bool isProof : {true, false}) {
        AttemptController request = makeAttempt(isProof);
        request.handle(attempt::Dispatch {{"a"}}, kNow);
        request.handle(attempt::Connected {request.current()}, kNow);
        request.handle(attempt::TargetRefused {request.current()}, kNow);
        const auto expected = isProof ? core::Verdict::NotRun : core::Verdict::MayHaveRun;
        BOOST_TEST((request.verdict() == expected));
    }
}

// Guards against a refusal that hides an earlier attempt whose outcome is not known.
BOOST_AUTO_TEST_CASE(earlierAttemptKeepsTheVerdict)
{
    AttemptParameters plan;
    plan.request = "r";
    plan.policy = SendPolicy::Repeatable;
    plan.deadline = kNow + 10s;
    plan.maxAttempts = 3;
    plan.refusalProvesNotRun = true;
    AttemptController request(makeAttemptBinding(), plan);
    request.handle(attempt::Dispatch {{"a"}}, kNow);
    request.handle(attempt::Connected {request.current()}, kNow);
    request.handle(attempt::ConnectionLost {request.current(), false}, kNow);
    request.handle(attempt::Dispatch {{"b"}}, kNow);
    request.handle(attempt::Connected {request.current()}, kNow);
    request.handle(attempt::TargetRefused {request.current()}, kNow);
    BOOST_TEST((request.verdict() == core::Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
