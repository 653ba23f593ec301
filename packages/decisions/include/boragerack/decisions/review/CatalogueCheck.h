#pragma once

#include <vector>

#include "boragerack/decisions/Catalogue.h"
#include "boragerack/decisions/review/ConfigurationFinding.h"
#include "boragerack/decisions/review/ReviewContext.h"

namespace boragerack::decisions {

/// Returns the faults of the two lists that their parsers and cross checks accept: entries that
/// nothing uses and limits that contradict each other. Places are indices into the contents.
std::vector<ConfigurationFinding> checkCatalogue(const CatalogueContents &contents,
                                                 const ReviewContext &context);

} // namespace boragerack::decisions
