#pragma once

#include <cstdint>

namespace boragerack::core {

/// Source of random numbers; tests inject a seeded one.
class RandomSource
{
public:
    RandomSource() = default;
    RandomSource(const RandomSource &) = delete;
    RandomSource &operator=(const RandomSource &) = delete;
    virtual ~RandomSource() = default;

    virtual std::uint64_t next() = 0;
};

} // namespace boragerack::core
