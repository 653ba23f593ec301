#pragma once

#include <random>

#include "boragerack/core/RandomSource.h"

namespace boragerack::core {

/// Deterministic pseudo-random generator; not cryptographically secure.
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
