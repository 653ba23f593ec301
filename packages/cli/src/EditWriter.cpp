#include "EditWriter.h"

#include <chrono>
#include <ostream>

#include "CommandOptions.h"
#include "JsonDifference.h"
#include "PartWriter.h"

namespace boragerack::cli {

namespace {

constexpr std::chrono::milliseconds kRetryDelay(250);
constexpr std::size_t kMaxDifferences = 20;

std::string versionText(const std::optional<StoredPart> &part)
{
    return part ? "version " + std::to_string(part->version) : "no such part";
}

void printDifferences(std::ostream &stream, const std::string &title,
                      const std::optional<StoredPart> &before, const std::string &after)
{
    stream << "  " << title << ":\n";
    for (const auto &line :
         describeDifferences(before ? before->text : "{}", after, kMaxDifferences))
        stream << "    " << line << '\n';
}

/// Prints the changes of the other writer and of this edit, both relative to the version read.
void printConflict(std::ostream &stream, const PartEdit &edit, const EditConflicted &conflict)
{
    if (!conflict.current) {
        stream << "  the part was deleted on the platform\n";
    } else {
        printDifferences(stream, "platform, " + versionText(conflict.current) + ", changed",
                         edit.base, conflict.current->text);
    }
    printDifferences(stream, "this edit of " + versionText(edit.base) + " changes", edit.base,
                     edit.text);
}

/// Writes the edits in order and stops at the first failure.
class EditRun
{
public:
    EditRun(platform::PlatformStore &store, const Streams &streams)
        : store_(store)
        , streams_(streams)
    {
    }

    ExitCode run(const std::vector<PartEdit> &edits)
    {
        for (const PartEdit &edit : edits) {
            if (const ExitCode code = apply(edit); code != Succeeded) {
                streams_.err << "boragerack apply: " << written_ << " of " << edits.size()
                             << " changed parts written\n";
                return code;
            }
            ++written_;
        }
        return Succeeded;
    }

private:
    ExitCode apply(const PartEdit &edit)
    {
        const auto result = writePart(store_, edit, kRetryDelay);
        if (const auto *applied = std::get_if<EditApplied>(&result)) {
            streams_.out << edit.part << ": " << versionText(edit.base) << " -> version "
                         << applied->version
                         << (applied->wasAlreadyApplied
                                 ? " (the platform already holds this value; answer lost)"
                                 : "")
                         << '\n';
            return Succeeded;
        }
        if (const auto *conflict = std::get_if<EditConflicted>(&result)) {
            reportError(streams_, "apply",
                        "conflict on " + edit.part + ": read " + versionText(edit.base)
                            + ", the platform now holds " + versionText(conflict->current),
                        EditConflict);
            printConflict(streams_.err, edit, *conflict);
            return EditConflict;
        }
        const core::Error &error = std::get<core::Error>(result);
        const bool isUnknown = error.verdict != core::Verdict::NotRun;
        return reportError(
            streams_, "apply",
            edit.part + ": " + error.message + "; the write "
                + (isUnknown ? "may have taken effect, run apply again" : "took no effect"),
            PlatformUnreachable);
    }

    platform::PlatformStore &store_;
    const Streams &streams_;
    std::size_t written_ = 0;
};

} // namespace

ExitCode writeEdits(platform::PlatformStore &store, const std::vector<PartEdit> &edits,
                    const Streams &streams)
{
    return EditRun(store, streams).run(edits);
}

void showEdits(const std::vector<PartEdit> &edits, const Streams &streams)
{
    for (const PartEdit &edit : edits)
        printDifferences(streams.out, edit.part + ", " + versionText(edit.base), edit.base,
                         edit.text);
}

} // namespace boragerack::cli
