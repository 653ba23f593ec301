#include <boost/test/unit_test.hpp>

#include "boragerack/core/Digest.h"

namespace core = boragerack::core;

// Guards against keys that fail to match because of a wrong digest or hexadecimal conversion.
BOOST_AUTO_TEST_CASE(digestMatchesPublishedVectorAndRoundTripsThroughHex)
{
    const core::Digest digest = core::makeDigest("abc");
    BOOST_TEST(core::toHex(digest)
               == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    BOOST_TEST((core::parseDigest(core::toHex(digest)) == digest));
}

// Guards against accepting a truncated or malformed digest in the plans list.
BOOST_AUTO_TEST_CASE(parseDigestRejectsOtherText)
{
    BOOST_TEST(!core::parseDigest("").has_value());
    BOOST_TEST(!core::parseDigest("ba7816").has_value());
    BOOST_TEST(!core::parseDigest(std::string(63, 'a') + "g").has_value());
}
