#include "boragerack/decisions/serving/AddressChoice.h"

#include <algorithm>

namespace boragerack::decisions {

namespace {

/// Callers read no more addresses than this from one response.
constexpr std::size_t kMaxAddresses = 64;
/// With this many local nodes a caller can fail over without leaving its data centre.
constexpr std::size_t kMinLocalAddresses = 2;

} // namespace

std::vector<std::string> chooseAddresses(std::span<const FleetMember> members,
                                         const core::DataCentreId &dataCentre)
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const FleetMember &member : members)
        (member.dataCentre == dataCentre ? local : remote).push_back(member.callerAddress);
    if (local.size() < kMinLocalAddresses)
        local.insert(local.end(), remote.begin(), remote.end());
    local.resize(std::min(local.size(), kMaxAddresses));
    return local;
}

} // namespace boragerack::decisions
