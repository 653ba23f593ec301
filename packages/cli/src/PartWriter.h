#pragma once

#include <chrono>
#include <optional>
#include <variant>

#include "EditPlan.h"
#include "boragerack/core/Error.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::cli {

/// The platform stores the wanted value.
struct EditApplied
{
    std::uint64_t version = 0;
    /// The response to the write was lost; the write was detected by the stored content.
    bool wasAlreadyApplied = false;

    friend auto operator<=>(const EditApplied &, const EditApplied &) = default;
};

/// Another writer modified the part after it was read; `current` is empty if it was deleted.
struct EditConflicted
{
    std::optional<StoredPart> current;

    friend auto operator<=>(const EditConflicted &, const EditConflicted &) = default;
};

using EditResult = std::variant<EditApplied, EditConflicted, core::Error>;

/// Writes one part with a conditional update. A failed call is retried with the same condition,
/// with a linearly increasing delay. If an earlier attempt took effect, the retry conflicts with
/// this writer's own text and counts as applied.
EditResult writePart(platform::PlatformStore &store, const PartEdit &edit,
                     std::chrono::milliseconds retryDelay);

} // namespace boragerack::cli
