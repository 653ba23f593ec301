#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "boragerack/decisions/BudgetTypes.h"

namespace boragerack::decisions::testing {

/// Tokens used by one request. `time` is the true time of its reservation in nanoseconds.
struct Spending
{
    std::int64_t time = 0;
    std::int64_t tokens = 0;
};

/// Records the tokens a fleet spends for one organisation and compares them with its limit.
class SpendingRecorder
{
public:
    std::size_t add(std::int64_t time, std::int64_t tokens)
    {
        entries_.push_back({time, tokens});
        return entries_.size() - 1;
    }

    void settle(std::size_t index, std::int64_t used) { entries_[index].tokens = used; }

    std::int64_t total() const
    {
        std::int64_t sum = 0;
        for (const Spending &entry : entries_)
            sum += entry.tokens;
        return sum;
    }

    /// Largest excess over burst + rate x window of all windows, in units of 10^-9 tokens; positive
    /// if the limit was exceeded. With A(t) = spent(t) - rate x t, the worst window that ends at an
    /// entry begins at the entry before which A was lowest.
    std::int64_t worstExcess(const RateLimit &limit) const
    {
        constexpr std::int64_t kUnitsPerToken = 1'000'000'000;
        std::int64_t spent = 0;
        std::int64_t lowest = 0;
        std::int64_t worst = -limit.burstTokens * kUnitsPerToken;
        bool isFirst = true;
        for (const Spending &entry : entries_) {
            const std::int64_t before = spent * kUnitsPerToken - limit.tokensPerSecond * entry.time;
            lowest = isFirst ? before : std::min(lowest, before);
            isFirst = false;
            spent += entry.tokens;
            worst = std::max(worst,
                             spent * kUnitsPerToken - limit.tokensPerSecond * entry.time - lowest
                                 - limit.burstTokens * kUnitsPerToken);
        }
        return worst;
    }

private:
    std::vector<Spending> entries_;
};

} // namespace boragerack::decisions::testing
