#pragma once

#include <cstddef>

namespace boragerack::runtime {

/// Memory that a process may use to buffer requests and responses, shared by its connections. A
/// limit on each message does not bound a process: many messages may be large at the same time.
class ByteBudget
{
public:
    static constexpr std::size_t kDefaultLimitBytes = 256 * 1024 * 1024;

    explicit ByteBudget(std::size_t limitBytes = kDefaultLimitBytes)
        : limit_(limitBytes)
    {
    }
    ByteBudget(const ByteBudget &) = delete;
    ByteBudget &operator=(const ByteBudget &) = delete;

    /// Returns false, and takes nothing, if fewer bytes are left.
    [[nodiscard]] bool tryTake(std::size_t bytes)
    {
        if (bytes > limit_ - used_)
            return false;
        used_ += bytes;
        return true;
    }
    void giveBack(std::size_t bytes) { used_ -= bytes; }

    std::size_t usedBytes() const { return used_; }
    std::size_t limitBytes() const { return limit_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace boragerack::runtime
