#pragma once

#include <optional>
#include <string_view>

#include "boragerack/core/Error.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/runtime/Metrics.h"

namespace boragerack::node {

/// Counts a finished request. `destination` is a model that the plan includes, or
/// "service:<service>"; no other name may be used as a label.
void countRequest(runtime::Metrics &metrics, const core::OrganisationId &organisation,
                  std::string_view destination, core::Verdict verdict,
                  const std::optional<core::Error> &error);

} // namespace boragerack::node
