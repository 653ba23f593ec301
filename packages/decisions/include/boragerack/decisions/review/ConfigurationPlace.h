#pragma once

#include <compare>
#include <cstddef>
#include <optional>

namespace boragerack::decisions {

/// Kind of the entry of a configuration, or of the two lists, that a finding concerns.
enum class PlaceEntry {
    Document,
    Route,
    Service,
    Organisation,
    Plan,
    Limits,
};

/// Member of the entry.
enum class PlaceField {
    Whole,
    Version,
    Name,
    Host,
    PathPrefix,
    Shares,
    TargetLatency,
    MaxAttempts,
    Keys,
    Rate,
    Burst,
    DefaultTokens,
    Models,
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
};

/// Place of a finding, in terms of the product. The reader of the input translates it into the
/// names that the input uses.
struct ConfigurationPlace
{
    PlaceEntry entry = PlaceEntry::Document;
    std::size_t index = 0;
    PlaceField field = PlaceField::Whole;
    /// Index in the member if that is an array. Absent for the share of a route with one service.
    std::optional<std::size_t> element;

    friend auto operator<=>(const ConfigurationPlace &, const ConfigurationPlace &) = default;
};

} // namespace boragerack::decisions
