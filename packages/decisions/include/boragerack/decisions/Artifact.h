#pragma once

#include <compare>
#include <string>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Weights that a target loads as a whole: one version of a model, or an adapter of it.
struct Artifact
{
    core::ModelId model;
    std::string version;
    /// Empty for the model itself.
    core::AdapterId adapter;

    bool isAdapter() const { return !adapter.value.empty(); }
    Artifact base() const { return {model, version, {}}; }

    friend auto operator<=>(const Artifact &, const Artifact &) = default;
};

/// Platform key `models/<model>@<version>`, followed by `:<adapter>` for an adapter.
std::string modelKey(const Artifact &artifact);

/// Platform key `targets/<target>`.
std::string targetKey(const core::TargetId &target);

} // namespace boragerack::decisions
