#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/decisions/Catalogue.h"
#include "boragerack/decisions/serving/ServingConfiguration.h"

namespace boragerack::decisions {

enum class DifferenceKind {
    Added,
    Dropped,
    Moved, ///< A route goes to another service.
    Split, ///< A route of one service goes to several.
    Joined, ///< A route of several services goes to one.
    Redistributed, ///< A route goes to several services in other shares.
    Raised,
    Lowered,
    Changed,
    KeyAdded,
    KeyWithdrawn,
};

/// One difference by meaning, such as a route that moved or a limit that was lowered.
struct ConfigurationDifference
{
    /// Entry and property, such as "route a.example/x/: time-out".
    std::string subject;
    DifferenceKind kind = DifferenceKind::Changed;
    /// Values for the operator; empty if the entry did not exist or does not exist any more.
    std::string before;
    std::string after;

    friend auto operator<=>(const ConfigurationDifference &,
                            const ConfigurationDifference &) = default;
};

std::string_view nameOf(DifferenceKind kind);

/// The same difference seen from the other side.
ConfigurationDifference mirrored(ConfigurationDifference difference);

/// Differences in ascending order. The version number, the order of entries and the scale of
/// weights have no meaning. Routes are identified by host and path prefix, other entries by name.
std::vector<ConfigurationDifference> findDifferences(const ServingConfiguration &before,
                                                     const ServingConfiguration &after);
std::vector<ConfigurationDifference> findDifferences(const CatalogueContents &before,
                                                     const CatalogueContents &after);

} // namespace boragerack::decisions
