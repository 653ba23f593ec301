#pragma once

#include <chrono>
#include <optional>
#include <variant>

#include "EditPlan.h"
#include "boragerack/core/Error.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::cli {

/// The part holds the wanted value.
struct EditApplied
{
    std::uint64_t version = 0;
    /// The write was recognised by its content after its answer was lost.
    bool wasAlreadyApplied = false;

    friend auto operator<=>(const EditApplied &, const EditApplied &) = default;
};

/// Another writer changed the part since it was read; `current` is empty if it was deleted.
struct EditConflicted
{
    std::optional<StoredPart> current;

    friend auto operator<=>(const EditConflicted &, const EditConflicted &) = default;
};

using EditResult = std::variant<EditApplied, EditConflicted, core::Error>;

/// Writes one part by conditional update. A call that failed is repeated a few times with the same
/// condition: if an earlier one took effect, the repeat conflicts with this writer's own text.
EditResult writePart(platform::PlatformStore &store, const PartEdit &edit,
                     std::chrono::milliseconds pause);

} // namespace boragerack::cli
