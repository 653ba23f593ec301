#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/FleetMessages.h"

namespace boragerack::node {

/// State of a node as known to this node.
struct Member
{
    decisions::MemberRecord record;
    bool isSuspected = false;

    friend auto operator<=>(const Member &, const Member &) = default;
};

struct MembershipSnapshot
{
    std::vector<Member> members;

    friend auto operator<=>(const MembershipSnapshot &, const MembershipSnapshot &) = default;
};

/// JSON of the platform object `nodes/<instance>`; the version is that of the object.
std::string serialiseMember(const decisions::MemberRecord &record);
core::Result<decisions::MemberRecord> parseMember(std::string_view text);

} // namespace boragerack::node
