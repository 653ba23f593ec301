#pragma once

#include <compare>
#include <string>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Weights that are loaded as a unit: one version of a model, or an adapter for that version.
struct Artifact
{
    core::ModelId model;
    std::string version;
    /// Empty for the model itself.
    core::AdapterId adapter;

    bool isAdapter() const { return !adapter.value.empty(); }
    /// The model that the adapter belongs to; a model is its own base.
    Artifact base() const { return {model, version, {}}; }

    friend auto operator<=>(const Artifact &, const Artifact &) = default;
};

/// Platform key of the artifact: `models/<model>@<version>`, with `:<adapter>` appended for an
/// adapter.
std::string modelKey(const Artifact &artifact);

/// Platform key of the target: `targets/<target>`.
std::string targetKey(const core::TargetId &target);

} // namespace boragerack::decisions
