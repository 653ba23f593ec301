#pragma once

#include <cstdint>
#include <functional>
#include <set>

#include "EventSimulator.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/decisions/ShareTable.h"

namespace boragerack::decisions::testing {

/// Fake platform with the object `budget/shares` and the instance list. Simulates outages, slow
/// writes and lost responses. Times are in nanoseconds.
class FakeSharePlatform
{
public:
    FakeSharePlatform(EventSimulator &time, std::uint64_t seed)
        : time_(time)
        , random_(seed)
    {
    }

    std::uint64_t version = 0;
    std::uint64_t writes = 0;
    ShareOwners owners;
    std::set<core::InstanceId> instances;
    std::int64_t outageUntil = 0;
    unsigned lostResponsePercent = 0;
    std::int64_t slowestWrite = 5 * kMillisecond;
    std::function<void()> onChange;

    bool isDown() const { return time_.now() < outageUntil; }
    ShareTableRead read() const { return {version, owners}; }

    void write(const WriteShareTable &update, std::function<void(const ShareTableEvent &)> answer)
    {
        const auto delay =
            static_cast<std::int64_t>(random_.next() % static_cast<std::uint64_t>(slowestWrite));
        time_.after(delay, [this, update, answer = std::move(answer)] {
            ShareTableEvent event = ShareTableWriteUnknown {};
            ++writes;
            if (!isDown()) {
                const bool succeeds = update.expectedVersion == version;
                if (succeeds) {
                    owners = update.owners;
                    ++version;
                    if (onChange)
                        onChange();
                    event = ShareTableWritten {version};
                } else {
                    event = read();
                }
                if (random_.next() % 100 < lostResponsePercent)
                    event = ShareTableWriteUnknown {};
            }
            const bool isUnknown = std::holds_alternative<ShareTableWriteUnknown>(event);
            time_.after(isUnknown ? kSecond : kMillisecond, [answer, event] { answer(event); });
        });
    }

private:
    EventSimulator &time_;
    core::SeededRandomSource random_;
};

} // namespace boragerack::decisions::testing
