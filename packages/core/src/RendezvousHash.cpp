#include "boragerack/core/RendezvousHash.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace boragerack::core {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

Duration staggerOf(const InstanceId &instance, Duration span, std::uint64_t seed)
{
    constexpr int kSteps = 64;
    return span * static_cast<int>(stableHash(instance.value, seed) % kSteps) / kSteps;
}

std::vector<InstanceId> rendezvousOwners(std::string_view key, std::span<const InstanceId> members,
                                         std::size_t count)
{
    const std::uint64_t keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, const InstanceId *>> weighted;
    weighted.reserve(members.size());
    for (const InstanceId &member : members)
        weighted.emplace_back(stableHash(member.value, keyHash), &member);

    const auto hasHigherWeight = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second->value < right.second->value;
    };
    const auto ownerCount = static_cast<std::ptrdiff_t>(std::min(count, weighted.size()));
    std::partial_sort(weighted.begin(), weighted.begin() + ownerCount, weighted.end(),
                      hasHigherWeight);

    std::vector<InstanceId> owners;
    for (auto entry = weighted.begin(); entry != weighted.begin() + ownerCount; ++entry)
        owners.push_back(*entry->second);
    return owners;
}

} // namespace boragerack::core
