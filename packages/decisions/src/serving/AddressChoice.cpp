#include "boragerack/decisions/serving/AddressChoice.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// Callers read no more addresses than this from one answer.
constexpr std::size_t kMaxAddresses = 64;
constexpr std::size_t kEnoughNear = 2;

} // namespace

std::vector<std::string> chooseAddresses(std::span<const FleetMember> members,
                                         const core::DataCentreId &dataCentre)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const FleetMember &member : members)
        (member.dataCentre == dataCentre ? near : far).push_back(member.callerAddress);
    if (near.size() < kEnoughNear)
        near.insert(near.end(), far.begin(), far.end());
    near.resize(std::min(near.size(), kMaxAddresses));
    return near;
}

} // namespace boragerack::decisions
