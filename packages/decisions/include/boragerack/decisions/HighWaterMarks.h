#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace boragerack::decisions {

/// Maximum of a level since an earlier position. Only levels just before a decrease are recorded,
/// because between two decreases the level is highest at the end.
class HighWaterMarks
{
public:
    /// Position of the next recorded level.
    std::uint64_t position() const { return nextPosition_; }

    void record(std::int64_t level);

    /// Maximum of `current` and the levels recorded at or after the position.
    std::int64_t highestSince(std::uint64_t position, std::int64_t current) const;

    /// Adds the amount to the levels recorded at or after the position, as if it had been present
    /// since then.
    void raiseSince(std::uint64_t position, std::int64_t amount);

    /// Discards the levels recorded before the position.
    void forgetBefore(std::uint64_t position);

private:
    struct Entry
    {
        std::uint64_t position;
        std::int64_t level;
    };

    std::size_t firstIndexFrom(std::uint64_t position) const;

    std::uint64_t nextPosition_ = 0;
    /// In order of increasing position and decreasing level: a level replaces all earlier ones that
    /// are not higher.
    std::vector<Entry> entries_;
};

} // namespace boragerack::decisions
