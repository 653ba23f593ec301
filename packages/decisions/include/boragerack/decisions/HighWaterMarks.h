#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace boragerack::decisions {

/// Answers how high a level has been since an earlier position. Only levels just before a decrease
/// are recorded, since between two decreases the level is highest at the end.
class HighWaterMarks
{
public:
    /// Position of the next recorded level.
    std::uint64_t position() const { return next_; }

    void record(std::int64_t level);

    /// Highest recorded level at or after the position, and at least `current`.
    std::int64_t highestSince(std::uint64_t position, std::int64_t current) const;

    /// Raises the recorded levels at and after the position, as if the tokens had been there.
    void raiseSince(std::uint64_t position, std::int64_t amount);

    /// Drops what no query at or after the position needs.
    void forgetBefore(std::uint64_t position);

private:
    struct Entry
    {
        std::uint64_t position;
        std::int64_t level;
    };

    std::size_t firstAt(std::uint64_t position) const;

    std::uint64_t next_ = 0;
    /// Positions rise and levels fall: a level hides all earlier ones that are not higher.
    std::vector<Entry> entries_;
};

} // namespace boragerack::decisions
