#include "boragerack/core/SystemRandomSource.h"

#include <cstdlib>

#include <openssl/rand.h>

namespace boragerack::core {

std::uint64_t SystemRandomSource::next()
{
    std::uint64_t value = 0;
    // Identifiers must be unique across the fleet, which only a working generator ensures.
    if (RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof(value)) != 1)
        std::abort();
    return value;
}

} // namespace boragerack::core
