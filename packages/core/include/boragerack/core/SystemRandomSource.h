#pragma once

#include "boragerack/core/RandomSource.h"

namespace boragerack::core {

/// Random numbers of the operating system's cryptographic generator.
class SystemRandomSource final : public RandomSource
{
public:
    std::uint64_t next() override;
};

} // namespace boragerack::core
