#include "PartWriter.h"

#include <algorithm>

#include <boost/fiber/operations.hpp>

#include "JsonDifference.h"

namespace boragerack::cli {

namespace {

constexpr int kMaxAttempts = 4;

EditResult interpretConflict(const platform::WriteConflict &conflict, const PartEdit &edit)
{
    if (!conflict.current)
        return EditConflicted();
    if (isSameJson(conflict.current->value, edit.text))
        return EditApplied {conflict.current->version, true};
    return EditConflicted {StoredPart {conflict.current->version, conflict.current->value}};
}

} // namespace

EditResult writePart(platform::PlatformStore &store, const PartEdit &edit,
                     std::chrono::milliseconds retryDelay)
{
    std::optional<std::uint64_t> condition;
    if (edit.base)
        condition = edit.base->version;
    core::Error lastError;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
        if (attempt > 0)
            boost::this_fiber::sleep_for(retryDelay * attempt);
        const auto result = store.write("lists/" + edit.part, edit.text, condition);
        if (const auto *applied = std::get_if<platform::WriteApplied>(&result))
            return EditApplied {applied->version, false};
        if (const auto *conflict = std::get_if<platform::WriteConflict>(&result))
            return interpretConflict(*conflict, edit);
        // After an attempt with an unknown outcome, the outcome stays unknown even if a later
        // attempt is known not to have run.
        const core::Verdict known = attempt > 0 ? lastError.verdict : core::Verdict::NotRun;
        lastError = std::get<core::Error>(result);
        lastError.verdict = std::max(known, lastError.verdict);
    }
    return lastError;
}

} // namespace boragerack::cli
