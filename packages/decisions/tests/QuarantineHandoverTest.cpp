#include <boost/test/unit_test.hpp>

#include <string>

#include "boragerack/decisions/Quarantine.h"

namespace boragerack::decisions::testing {

namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kStart {};
const core::Digest kCause = core::makeDigest("cause");
const core::Digest kBeside = core::makeDigest("beside");

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineHandoverTest)

// Guards against the refusal of sound parts under a new coordinator, which gets the refusals of the
// previous one and the crashes that they explain.
BOOST_AUTO_TEST_CASE(refusalOfAnotherCoordinatorExplainsItsCrashes)
{
    Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
    quarantine.handle(quarantine::Notice {kCause, 5min}, kStart);
    for (int i = 0; i < 4; ++i) {
        for (const auto &suspect : {kBeside, kCause}) {
            const std::string name = std::to_string(i);
            quarantine.handle(quarantine::CrashReport {.fingerprint = suspect,
                                                       .attempt = {"r" + name, 1},
                                                       .origin = core::makeDigest("origin" + name),
                                                       .minOrigins = 2,
                                                       .target = "t" + name,
                                                       .sentAge = 10ms,
                                                       .part = suspect},
                              kStart + i * 100ms);
        }
    }
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 1s).empty());
    BOOST_TEST(quarantine.check(kCause, kStart + 1s).has_value());
    BOOST_TEST(!quarantine.check(kBeside, kStart + 1s).has_value());
}

// Guards against a sound part that stays refused, because a coordinator that had not got all
// crashes refused it and handed the refusal over.
BOOST_AUTO_TEST_CASE(handedOverRefusalEndsWithABetterExplanation)
{
    Quarantine quarantine({.maxCrashes = 3, .minTargets = 2});
    quarantine.handle(quarantine::Notice {kBeside, 5min}, kStart);
    const auto crash = [&](const core::Digest &suspect, int number) {
        const std::string name = std::to_string(number);
        quarantine.handle(quarantine::CrashReport {.fingerprint = suspect,
                                                   .attempt = {"r" + name, 1},
                                                   .origin = core::makeDigest("origin" + name),
                                                   .minOrigins = 2,
                                                   .target = "t" + name,
                                                   .sentAge = 10ms,
                                                   .part = suspect},
                          kStart + number * 100ms);
    };
    for (int i = 0; i < 4; ++i) {
        if (i > 0)
            crash(kBeside, i);
        crash(kCause, i);
    }
    quarantine.handle(quarantine::Tick(), kStart + 1s);
    BOOST_TEST(quarantine.check(kCause, kStart + 1s).has_value());
    BOOST_TEST(!quarantine.check(kBeside, kStart + 1s).has_value());
    // Another node that still has the old refusal reports it late.
    quarantine.handle(quarantine::Notice {kBeside, 4min}, kStart + 2s);
    BOOST_TEST(!quarantine.check(kBeside, kStart + 2s).has_value());
}

// Guards against a right refusal of the previous coordinator that ends, because only some of the
// nodes have reported their crashes to the next one.
BOOST_AUTO_TEST_CASE(partsAreComparedAfterTheHandover)
{
    Quarantine quarantine({.maxCrashes = 3, .minTargets = 2, .handoverDelay = 1s});
    quarantine.handle(quarantine::Notice {kCause, 5min}, kStart);
    const auto crash = [&](const core::Digest &suspect, int number, std::chrono::milliseconds at) {
        const std::string name = std::to_string(number);
        const auto age = at + 4s - number * 1s;
        quarantine.handle(
            quarantine::CrashReport {.fingerprint = suspect,
                                     .attempt = {"r" + name, suspect == kCause ? 1U : 2U},
                                     .origin = core::makeDigest(name),
                                     .minOrigins = 2,
                                     .target = "t" + name,
                                     .sentAge = age,
                                     .crashAge = age,
                                     .part = suspect},
            kStart + at);
    };
    for (int i = 1; i <= 3; ++i)
        crash(kBeside, i, 50ms);
    crash(kCause, 1, 50ms);
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 500ms).empty());
    for (int i = 2; i <= 3; ++i)
        crash(kCause, i, 700ms);
    BOOST_TEST(quarantine.handle(quarantine::Tick(), kStart + 1100ms).empty());
    BOOST_TEST(quarantine.check(kCause, kStart + 1100ms).has_value());
    BOOST_TEST(!quarantine.check(kBeside, kStart + 1100ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace boragerack::decisions::testing
