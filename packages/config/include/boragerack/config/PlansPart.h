#pragma once

#include <string_view>
#include <vector>

#include "boragerack/core/Result.h"
#include "boragerack/decisions/Organisation.h"

namespace boragerack::config {

/// One part of the plans list.
struct PlansPart
{
    std::vector<decisions::Organisation> organisations;

    friend auto operator<=>(const PlansPart &, const PlansPart &) = default;
};

/// Parses a part; error messages identify it by `file`.
core::Result<PlansPart> parsePlansPart(std::string_view file, std::string_view text);

} // namespace boragerack::config
