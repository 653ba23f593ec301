#pragma once

#include <string_view>
#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/Evacuation.h"
#include "boragerack/decisions/Plan.h"
#include "boragerack/decisions/Service.h"

namespace boragerack::config {

/// One part of the entitlements list.
struct EntitlementsPart
{
    std::vector<decisions::Plan> plans;
    std::vector<decisions::Service> services;
    std::vector<decisions::Evacuation> evacuations;

    friend auto operator<=>(const EntitlementsPart &, const EntitlementsPart &) = default;
};

/// Parses a part; error messages identify it by `file`.
core::Result<EntitlementsPart> parseEntitlementsPart(std::string_view file, std::string_view text);

} // namespace boragerack::config
