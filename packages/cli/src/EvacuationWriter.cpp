#include "EvacuationWriter.h"

#include <algorithm>
#include <chrono>
#include <ostream>
#include <utility>

#include "CommandOptions.h"
#include "EvacuationEdit.h"
#include "PartReader.h"
#include "PartWriter.h"

namespace boragerack::cli {

namespace {

constexpr std::chrono::milliseconds kRetryDelay(250);
/// The edit is made again on the part as it is after a conflict, because it only adds or removes
/// one entry and so does not depend on the other change.
constexpr int kMaxConflicts = 5;

/// Makes the conditional updates of one request.
class EvacuationRun
{
public:
    EvacuationRun(platform::PlatformStore &store, EvacuationRequest request, const Streams &streams)
        : store_(store)
        , request_(std::move(request))
        , streams_(streams)
    {
    }

    ExitCode run()
    {
        const auto instances = store_.listInstances();
        if (!core::isOk(instances))
            return fail(core::errorOf(instances).message, PlatformUnreachable);
        targets_ = std::ranges::count_if(
            core::valueOf(instances), [this](const platform::InstanceRecord &instance) {
                return instance.kind != platform::InstanceKind::Node
                    && instance.dataCentre.value == request_.dataCentre;
            });
        // A misspelt name would otherwise be accepted and evacuate nothing.
        if (targets_ == 0 && !request_.isEnd) {
            return fail("the instance list has no target in data centre " + request_.dataCentre
                            + "; nothing was written",
                        ConditionFailed);
        }
        ExitCode code = EditConflict;
        for (int i = 0; i < kMaxConflicts && code == EditConflict; ++i)
            code = tryOnce();
        if (code == EditConflict) {
            return fail("other writers changed the list " + std::to_string(kMaxConflicts)
                            + " times in the meantime; run the command again",
                        EditConflict);
        }
        return code;
    }

private:
    ExitCode fail(const std::string &message, ExitCode code) const
    {
        return reportError(streams_, "evacuate", message, code);
    }

    /// Reads the lists and writes the edit; EditConflict if another writer was faster.
    ExitCode tryOnce()
    {
        const auto read = readStoredParts(store_);
        if (!core::isOk(read))
            return fail(core::errorOf(read).message, PlatformUnreachable);
        const StoredParts &stored = core::valueOf(read);
        const auto wanted = request_.isEnd ? removeEvacuation(stored, request_.dataCentre)
                                           : addEvacuation(stored, request_.dataCentre);
        if (wanted.empty())
            return isWritten_ ? finish() : reportNoChange(stored);
        const auto plan = planEdits(stored, wanted);
        if (const auto *error = std::get_if<config::ListError>(&plan)) {
            return fail("the lists are invalid, so the change would not take effect: "
                            + error->message + "; nothing was written",
                        ConditionFailed);
        }
        for (const PartEdit &edit : std::get<std::vector<PartEdit>>(plan)) {
            if (const ExitCode code = write(edit); code != Succeeded)
                return code;
        }
        return finish();
    }

    ExitCode write(const PartEdit &edit)
    {
        const auto result = writePart(store_, edit, kRetryDelay);
        if (const auto *applied = std::get_if<EditApplied>(&result)) {
            streams_.out << edit.part << ": version " << applied->version << '\n';
            isWritten_ = true;
            return Succeeded;
        }
        if (std::holds_alternative<EditConflicted>(result))
            return EditConflict;
        const core::Error &error = std::get<core::Error>(result);
        const bool isUnknown = error.verdict != core::Verdict::NotRun;
        return fail(
            edit.part + ": " + error.message + "; the write "
                + (isUnknown ? "may have taken effect, run the command again" : "took no effect"),
            PlatformUnreachable);
    }

    ExitCode reportNoChange(const StoredParts &stored) const
    {
        if (request_.isEnd) {
            return fail("data centre " + request_.dataCentre
                            + " is not evacuated; nothing was written",
                        ConditionFailed);
        }
        std::string parts;
        for (const std::string &part : findEvacuatingParts(stored, request_.dataCentre))
            parts += (parts.empty() ? "" : ", ") + part;
        return fail("data centre " + request_.dataCentre + " is already evacuated (" + parts
                        + "); nothing was written",
                    ConditionFailed);
    }

    ExitCode finish() const
    {
        streams_.out << "data centre " << request_.dataCentre << ", targets " << targets_
                     << (request_.isEnd ? ": evacuation withdrawn\n" : ": evacuation requested\n");
        return Succeeded;
    }

    platform::PlatformStore &store_;
    EvacuationRequest request_;
    const Streams &streams_;
    std::ptrdiff_t targets_ = 0;
    bool isWritten_ = false;
};

} // namespace

ExitCode writeEvacuation(platform::PlatformStore &store, const EvacuationRequest &request,
                         const Streams &streams)
{
    return EvacuationRun(store, request, streams).run();
}

} // namespace boragerack::cli
