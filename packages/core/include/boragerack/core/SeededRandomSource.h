#pragma once

#include <random>

#include "boragerack/core/RandomSource.h"

namespace boragerack::core {

/// Pseudo-random numbers from a fixed seed; not for secrets.
class SeededRandomSource final : public RandomSource
{
public:
    explicit SeededRandomSource(std::uint64_t seed)
        : engine_(seed)
    {
    }

    std::uint64_t next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace boragerack::core
