#pragma once

#include "boragerack/core/RandomSource.h"

namespace boragerack::core {

/// Cryptographically secure generator, seeded by the operating system.
class SystemRandomSource final : public RandomSource
{
public:
    std::uint64_t next() override;
};

} // namespace boragerack::core
