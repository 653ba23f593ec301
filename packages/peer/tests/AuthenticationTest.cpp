#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "EnvelopeCodec.h"
#include "boragerack/peer/MessageAuthenticator.h"
#include "boragerack/peer/ReplayGuard.h"

namespace core = boragerack::core;
namespace peer = boragerack::peer;

namespace {

using AuthenticatorPointer = std::shared_ptr<const peer::MessageAuthenticator>;

AuthenticatorPointer makeAuthenticator(const std::string &self,
                                       std::string_view secret = "a fleet secret for tests")
{
    return core::takeValue(peer::MessageAuthenticator::make(secret, core::InstanceId {self}, 7));
}

const core::InstanceId kSender {"pnw-a-1"};
const core::InstanceId kReceiver {"pnw-b-2"};

} // namespace

// Guards against a field that is lost or swapped between the value types and protobuf.
BOOST_AUTO_TEST_CASE(everyKindOfMessageSurvivesEncoding)
{
    using std::chrono::milliseconds;
    const core::Digest digest = core::makeDigest("part");
    const std::vector<peer::MessageBody> bodies = {
        peer::Heartbeat {1, 2, 3, 4, {{kSender, 5, milliseconds(6), true}}},
        peer::MemberEvent {peer::MemberEventKind::Suspected, kSender, 1, "127.0.0.1:1",
                           core::DataCentreId {"pnw-a"}, core::RegionId {"pnw"}, 9},
        peer::ConfigUpdate {8, {{"plans/a", digest}}, {"{}", ""}},
        peer::ConfigFetch {8, {digest}},
        peer::TargetUpdate {
            4,
            {{core::TargetId {"t"},
              "127.0.0.1:2",
              core::DataCentreId {"d"},
              core::RegionId {"r"},
              core::ServiceId {"s"},
              true,
              false,
              {{core::ModelId {"m"}, core::AdapterId {"a"}, "3", peer::ReplicaState::Ready}}}}},
        peer::BudgetAsk {core::OrganisationId {"o"}, 3, 4, 5},
        peer::BudgetGrant {core::OrganisationId {"o"}, 3, 4, 5, milliseconds(2000)},
        peer::BudgetReturn {core::OrganisationId {"o"}, 3, 4, 5, 6},
        peer::WakeRequest {core::ModelId {"m"}, core::AdapterId {"a"}, "3", 2, milliseconds(9)},
        peer::WakeReply {peer::WakeOutcome::Refused, core::TargetId {"t"}, milliseconds(1), "full"},
        peer::CrashReport {digest, core::TargetId {"t"}, 12},
        peer::QuarantineNotice {digest, 2, milliseconds(600000)},
        peer::PlatformProbe {true, milliseconds(40)},
        core::Error {core::ErrorCode::QueueFull, core::Verdict::MayHaveRun, "m", milliseconds(3)}};
    BOOST_TEST(bodies.size() == std::variant_size_v<peer::MessageBody>);
    for (const peer::MessageBody &body : bodies) {
        const peer::Envelope envelope {kSender, kReceiver, 11, 12, body};
        const auto decoded = peer::decodeEnvelope(peer::encodeEnvelope(envelope));
        BOOST_TEST_CONTEXT("body " << body.index())
        {
            BOOST_REQUIRE(core::isOk(decoded));
            BOOST_TEST((core::valueOf(decoded) == envelope));
        }
    }
}

// Guards against accepting a message that was changed on the way, in any byte.
BOOST_AUTO_TEST_CASE(changedMessageIsRejected)
{
    const auto sender = makeAuthenticator(kSender.value);
    const auto receiver = makeAuthenticator(kReceiver.value);
    const auto sealed =
        sender->sealRequest(kReceiver, 5, peer::BudgetAsk {core::OrganisationId {"o"}, 1, 2, 3});
    const auto opened = receiver->openRequest(sealed.bytes);
    BOOST_REQUIRE(core::isOk(opened));
    BOOST_TEST(core::valueOf(opened).envelope.counter == 5U);
    BOOST_TEST((core::valueOf(opened).envelope.sender == kSender));
    for (std::size_t i = 0; i < sealed.bytes.size(); ++i) {
        std::string changed = sealed.bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        BOOST_TEST(!core::isOk(receiver->openRequest(changed)), "byte " << i);
        BOOST_TEST(!core::isOk(receiver->openRequest(sealed.bytes.substr(0, i))), "length " << i);
    }
}

// Guards against a message that another fleet sent, or that was meant for another instance.
BOOST_AUTO_TEST_CASE(wrongSecretAndWrongReceiverAreRejected)
{
    const auto sender = makeAuthenticator(kSender.value);
    const auto sealed = sender->sealRequest(kReceiver, 1, peer::Heartbeat {});
    BOOST_TEST(!core::isOk(
        makeAuthenticator(kReceiver.value, "another fleet's secret")->openRequest(sealed.bytes)));
    const auto misdirected = makeAuthenticator("pnw-c-3")->openRequest(sealed.bytes);
    BOOST_REQUIRE(!core::isOk(misdirected));
    BOOST_TEST((core::errorOf(misdirected).code == core::ErrorCode::Unauthenticated));
    BOOST_TEST((core::errorOf(misdirected).verdict == core::Verdict::NotRun));
    BOOST_TEST(!core::isOk(peer::MessageAuthenticator::make("short", kSender, 1)));

    const auto fetch = sender->sealRequest({}, 2, peer::ConfigFetch {});
    BOOST_TEST(core::isOk(makeAuthenticator(kReceiver.value)->openRequest(fetch.bytes)));
    const auto anonymous = sender->sealRequest({}, 3, peer::Heartbeat {});
    BOOST_TEST(!core::isOk(makeAuthenticator(kReceiver.value)->openRequest(anonymous.bytes)));
}

// Guards against an answer being taken for the answer to another request.
BOOST_AUTO_TEST_CASE(answerBelongsToOneRequest)
{
    const auto sender = makeAuthenticator(kSender.value);
    const auto receiver = makeAuthenticator(kReceiver.value);
    const auto first = sender->sealRequest(kReceiver, 1, peer::Heartbeat {});
    const auto second = sender->sealRequest(kReceiver, 2, peer::Heartbeat {});
    const auto opened = receiver->openRequest(first.bytes);
    const auto answer = receiver->sealAnswer(core::valueOf(opened), peer::PlatformProbe {});
    BOOST_TEST(core::isOk(sender->openAnswer(answer.bytes, first.tag)));
    BOOST_TEST(!core::isOk(sender->openAnswer(answer.bytes, second.tag)));
    BOOST_TEST(!core::isOk(sender->openRequest(answer.bytes)));
}

// Guards against a counter that is admitted twice, or a fresh one refused within the window.
BOOST_AUTO_TEST_CASE(eachCounterIsAdmittedOnce)
{
    BOOST_TEST(rc::check([] {
        peer::ReplayGuard guard;
        std::set<std::uint64_t> seen;
        std::uint64_t highest = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-1100, 1200));
        for (const int step : steps) {
            if (step < 0 && highest < static_cast<std::uint64_t>(-step))
                continue;
            const std::uint64_t counter = highest + static_cast<std::uint64_t>(step);
            const bool isInWindow = counter + peer::ReplayGuard::kWindow > highest;
            const bool isFresh = isInWindow && !seen.contains(counter);
            RC_ASSERT(core::isOk(guard.admit(kSender, 1, counter)) == isFresh);
            if (isFresh)
                seen.insert(counter);
            highest = std::max(highest, counter);
        }
    }));
}

// Guards against messages of a dead process, and against memory that grows with each sender.
BOOST_AUTO_TEST_CASE(earlierIncarnationIsRejectedAndMemoryIsBounded)
{
    peer::ReplayGuard guard(3);
    BOOST_TEST(core::isOk(guard.admit(kSender, 1, 4)));
    BOOST_TEST(core::isOk(guard.admit(kSender, 2, 4)));
    BOOST_TEST(!core::isOk(guard.admit(kSender, 1, 5)));
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(core::isOk(guard.admit(core::InstanceId {std::to_string(i)}, 1, 1)));
        BOOST_TEST(guard.senderCount() <= 3U);
    }
}
