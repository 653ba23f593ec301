#include <boost/test/unit_test.hpp>

#include "ActionLookup.h"
#include "RequestCharts.h"
#include "boragerack/decisions/AttemptController.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kNow(1h);

AttemptController makeAttempt(bool refusalProvesNotRun)
{
    AttemptParameters parameters;
    parameters.request = "r";
    parameters.policy = SendPolicy::AtMostOnce;
    parameters.deadline = kNow + 10s;
    parameters.maxAttempts = 1;
    parameters.refusalProvesNotRun = refusalProvesNotRun;
    parameters.maxRefusals = 2;
    return AttemptController(makeAttemptBinding(), parameters);
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptRefusalTest)

// Guards against a request that fails because its first target has just crashed, although no byte
// of the request was sent.
BOOST_AUTO_TEST_CASE(failedConnectDoesNotCountAsAttempt)
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

// Guards against a request that is counted and charged again, or needs a permit for a retry,
// because a connection failed before it was sent.
BOOST_AUTO_TEST_CASE(onlySentRequestsAreRetried)
{
    AttemptController request = makeAttempt(true);
    request.handle(attempt::Dispatch {{"a"}}, kNow);
    const auto unsent = request.handle(attempt::ConnectionLost {request.current(), false}, kNow);
    BOOST_TEST((findAction<attempt::ChooseTarget>(unsent)
                == attempt::ChooseTarget {{{"a"}}, false, false}));
    request.handle(attempt::Dispatch {{"b"}}, kNow);
    request.handle(attempt::Connected {request.current()}, kNow);
    const auto rejected = request.handle(attempt::TargetRefused {request.current()}, kNow);
    BOOST_TEST((findAction<attempt::ChooseTarget>(rejected)
                == attempt::ChooseTarget {{{"a"}, {"b"}}, false, true}));
}

// Guards against a refusal that is reported as "may have run" although the target proves that the
// request did not run, and against "not run" where a refusal is no proof.
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

// Guards against a refusal that hides an earlier attempt with an unknown outcome.
BOOST_AUTO_TEST_CASE(earlierAttemptKeepsTheVerdict)
{
    AttemptParameters parameters;
    parameters.request = "r";
    parameters.policy = SendPolicy::Repeatable;
    parameters.deadline = kNow + 10s;
    parameters.maxAttempts = 3;
    parameters.refusalProvesNotRun = true;
    AttemptController request(makeAttemptBinding(), parameters);
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
