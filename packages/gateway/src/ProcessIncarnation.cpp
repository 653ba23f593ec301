#include "ProcessIncarnation.h"

namespace boragerack::gateway {

namespace {

/// The version number of the first 4,096 eras has 53 bits.
constexpr unsigned kRandomBits = 11;

} // namespace

std::uint64_t makeIncarnation(std::uint64_t storeVersion, std::uint64_t random)
{
    return (storeVersion << kRandomBits) | (random >> (64 - kRandomBits));
}

} // namespace boragerack::gateway
