#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Identifier.h"
#include "boragerack/core/Result.h"

namespace boragerack::node {

/// One node as its record `nodes/<instance>` describes it.
struct Member
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::string callerAddress;
    std::string peerAddress;
    core::DataCentreId dataCentre;
    core::RegionId region;
    /// Whether callers may be given its address.
    bool isServing = false;
    bool isSuspected = false;

    friend auto operator<=>(const Member &, const Member &) = default;
};

struct Members
{
    std::vector<Member> members;

    friend auto operator<=>(const Members &, const Members &) = default;
};

// JSON of the platform object `nodes/<instance>`.
std::string serialiseMember(const Member &member);
core::Result<Member> parseMember(std::string_view text);

} // namespace boragerack::node
