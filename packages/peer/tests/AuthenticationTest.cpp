#include <set>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "EnvelopeCodec.h"
#include "PeerFixture.h"
#include "boragerack/peer/ReplayGuard.h"

namespace core = boragerack::core;
namespace peer = boragerack::peer;
using boragerack::peer::makeAuthenticator;

namespace {

const core::InstanceId kSender {"pnw-a-1"};
const core::InstanceId kReceiver {"pnw-b-2"};

} // namespace

// Guards against fields that are lost or swapped when converting to and from protobuf.
BOOST_AUTO_TEST_CASE(everyMessageBodyRoundTripsThroughProtobuf)
{
    using std::chrono::milliseconds;
    const core::Digest digest = core::makeDigest("part");
    namespace decisions = boragerack::decisions;
    const core::OrganisationId organisation {"o"};
    const decisions::NodeReport report {
        11, 2, 3, 4,
        decisions::FreshnessProof {decisions::FreshnessProofKind::ConfirmedOutage, 5,
                                   milliseconds(6)}};
    const decisions::MemberRecord record {kSender,
                                          "127.0.0.1:1",
                                          "127.0.0.1:2",
                                          core::DataCentreId {"pnw-a"},
                                          core::RegionId {"pnw"},
                                          3,
                                          4,
                                          true};
    const decisions::PortionId own {kSender, 11, 5};
    const decisions::PortionId other {core::InstanceId {"pnw-c-3"}, 12, 6};
    const std::vector<decisions::PortionReturn> returns = {{own, 7, 100}, {other, 8, 0}};
    const decisions::Artifact artifact {core::ModelId {"m"}, "3", core::AdapterId {"a"}};
    const core::Error error {core::ErrorCode::QueueFull, core::Verdict::MayHaveRun, "m",
                             milliseconds(3)};
    const decisions::ConfigurationDelta update {7,
                                                {8, 9, kSender, 10, 11, {{"plans/a", digest}}},
                                                {{"plans/a", "{}"}},
                                                {"plans/b"},
                                                digest};
    decisions::TargetEntry listed;
    listed.target.value = "t";
    listed.service.value = "s";
    listed.address = "127.0.0.1:2";
    listed.dataCentre.value = "d";
    listed.slots = 3;
    listed.isLeaving = true;
    listed.startedAt = 4;
    const decisions::FleetMember member {kSender, "10.0.0.1:1", {"d"}, "10.0.0.1:2", 250};
    const std::vector<peer::MessageBody> bodies = {
        decisions::Heartbeat {1, report},
        decisions::HeartbeatReply {1, {12, 0, 3, 4, std::nullopt}},
        decisions::MemberEvent {decisions::MemberEventKind::Suspected, record, 9},
        decisions::MemberFetch {{1, 2}},
        decisions::MemberTable {{record}},
        decisions::ConfigFetch {8},
        decisions::ConfigUpdate {update},
        decisions::ProbeRequest {6},
        decisions::ProbeReport {6, {{kSender, milliseconds(7), 8}}},
        decisions::BudgetRequest {own, {1, 2}, organisation, 20000, returns},
        decisions::BudgetGrant {other, {1, 2}, organisation, 9, true, 300, milliseconds(4)},
        decisions::BudgetGrant {{kReceiver, 5, 6}, {1, 2}, organisation, 11, false, 0, {}},
        decisions::BudgetReturn {{1, 2}, organisation, returns},
        peer::TargetUpdate {4,
                            {{core::TargetId {"t"},
                              "127.0.0.1:2",
                              core::DataCentreId {"d"},
                              core::RegionId {"r"},
                              core::ServiceId {"s"},
                              true,
                              false,
                              {{artifact, peer::ReportedReplicaState::Ready}}}}},
        peer::ColdStartRequest {2, artifact, milliseconds(9)},
        peer::ColdStartReply {2, artifact, core::TargetId {"t"}},
        peer::ColdStartReply {2, artifact, error},
        peer::ReplicaInFlightReport {{{artifact, core::TargetId {"t"}, 5}}},
        decisions::quarantine::CrashReport {digest,
                                            {"r", 12},
                                            digest,
                                            2,
                                            "t/5",
                                            milliseconds(13),
                                            milliseconds(14),
                                            digest,
                                            3,
                                            true},
        decisions::quarantine::Completed {digest},
        decisions::quarantine::Notice {digest, milliseconds(600000)},
        decisions::CoordinationReport {
            member,
            true,
            {5, 1, 3, 2, 6},
            4,
            true,
            {{artifact, {"s"}, 4, 5, milliseconds(6), milliseconds(7), 9190}},
            {{{core::TargetId {"t"}, artifact, 8}}},
            {{organisation, 9, 10}},
            {{core::TargetId {"t"}, 2, 1}},
            {{{core::TargetId {"t"}, 4}, 2.5, milliseconds(17)},
             {{core::TargetId {"u"}, 5}, {}, milliseconds(18)}},
            {{digest,
              {"r", 12},
              digest,
              2,
              "t/5",
              milliseconds(13),
              milliseconds(14),
              digest,
              3,
              true}},
            {{digest}},
            {{digest, milliseconds(15)}},
            {{member, true, {{organisation, 11, 12}}, {{core::TargetId {"t"}, 3, 0}}}},
            {"relay"}},
        decisions::CoordinationAnswer {
            decisions::CoordinatorStanding::Lapsed,
            decisions::FleetChange {
                1,
                {2, true, 0, {member}, {{"gone"}}},
                {3, false, 2, {listed}, {{"t-gone"}}},
                {4, true, 0, {{core::TargetId {"t"}, 4, {artifact}, {{"m"}}}}, {}},
                {5, false, 3, {{core::TargetId {"t"}, 4, 2.5}}, {{"u"}}}},
            member,
            {6, milliseconds(7), milliseconds(8)},
            {9, 10, milliseconds(11)},
            decisions::TargetLoads {3, {12, 0, 300}},
            {{organisation, 13}},
            {{core::TargetId {"t"}, 1}},
            {{kSender, {{organisation, 15}}, {{core::TargetId {"u"}, 2}}}},
            {{digest, milliseconds(16)}},
            "{}",
            decisions::LeaseObservation {
                {kSender, "10.0.0.1:2", 1, 2, true, milliseconds(3), milliseconds(5), 6, 7}, 4},
            milliseconds(14)},
        error};
    std::set<std::size_t> kinds;
    for (const peer::MessageBody &body : bodies)
        kinds.insert(body.index());
    BOOST_TEST(kinds.size() == std::variant_size_v<peer::MessageBody>);
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

// Guards against accepting a message that was truncated or modified in any byte.
BOOST_AUTO_TEST_CASE(modifiedMessageIsRejected)
{
    const auto sender = makeAuthenticator(kSender.value);
    const auto receiver = makeAuthenticator(kReceiver.value);
    const auto signedMessage = sender->signRequest(kReceiver, 5, peer::makeBudgetRequest(5));
    const auto verified = receiver->verifyRequest(signedMessage.bytes);
    BOOST_REQUIRE(core::isOk(verified));
    BOOST_TEST(core::valueOf(verified).envelope.counter == 5U);
    BOOST_TEST((core::valueOf(verified).envelope.sender == kSender));
    for (std::size_t i = 0; i < signedMessage.bytes.size(); ++i) {
        std::string changed = signedMessage.bytes;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        BOOST_TEST(!core::isOk(receiver->verifyRequest(changed)), "byte " << i);
        BOOST_TEST(!core::isOk(receiver->verifyRequest(signedMessage.bytes.substr(0, i))),
                   "length " << i);
    }
}

// Guards against accepting a message from another fleet or one addressed to another instance.
BOOST_AUTO_TEST_CASE(wrongSecretAndWrongReceiverAreRejected)
{
    const auto sender = makeAuthenticator(kSender.value);
    const auto signedMessage =
        sender->signRequest(kReceiver, 1, boragerack::decisions::Heartbeat {});
    BOOST_TEST(!core::isOk(makeAuthenticator(kReceiver.value, "another fleet's secret")
                               ->verifyRequest(signedMessage.bytes)));
    const auto misdirected = makeAuthenticator("pnw-c-3")->verifyRequest(signedMessage.bytes);
    BOOST_REQUIRE(!core::isOk(misdirected));
    BOOST_TEST((core::errorOf(misdirected).code == core::ErrorCode::Unauthenticated));
    BOOST_TEST((core::errorOf(misdirected).verdict == core::Verdict::NotRun));
    BOOST_TEST(!core::isOk(peer::MessageAuthenticator::make("short", kSender, 1)));

    const auto fetch = sender->signRequest({}, 2, boragerack::decisions::MemberFetch {});
    BOOST_TEST(core::isOk(makeAuthenticator(kReceiver.value)->verifyRequest(fetch.bytes)));
    const auto withoutReceiver = sender->signRequest({}, 3, boragerack::decisions::Heartbeat {});
    BOOST_TEST(
        !core::isOk(makeAuthenticator(kReceiver.value)->verifyRequest(withoutReceiver.bytes)));
}

// Guards against accepting a reply for a different request.
BOOST_AUTO_TEST_CASE(replyIsValidForOneRequestOnly)
{
    const auto sender = makeAuthenticator(kSender.value);
    const auto receiver = makeAuthenticator(kReceiver.value);
    const auto first = sender->signRequest(kReceiver, 1, boragerack::decisions::Heartbeat {});
    const auto second = sender->signRequest(kReceiver, 2, boragerack::decisions::Heartbeat {});
    const auto verified = receiver->verifyRequest(first.bytes);
    const auto answer = receiver->signReply(core::valueOf(verified).replyContext(),
                                            boragerack::decisions::ProbeReport {});
    const auto own = sender->verifyReply(answer.bytes, first.tag);
    BOOST_REQUIRE(core::isOk(own));
    BOOST_TEST((core::valueOf(own).sender == kReceiver));
    BOOST_TEST((core::valueOf(own).receiver == kSender));
    BOOST_TEST(!core::isOk(sender->verifyReply(answer.bytes, second.tag)));
    BOOST_TEST(!core::isOk(sender->verifyRequest(answer.bytes)));
}

// Guards against admitting a counter twice, or rejecting a new one within the window.
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

// Guards against accepting messages of an earlier process, and against unbounded memory growth with
// the number of senders.
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
