#include "ApplyCommand.h"

#include <ostream>
#include <sstream>

#include "JsonDifference.h"
#include "ListFiles.h"
#include "PartWriter.h"
#include "PlatformSession.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

constexpr std::string_view kListsPrefix = "lists/";
constexpr std::chrono::milliseconds kRetryPause(250);
constexpr std::size_t kMaxDifferences = 20;

core::Result<HeldParts> readHeldParts(platform::PlatformStore &store)
{
    const auto list = store.list(std::string(kListsPrefix));
    if (!core::isOk(list))
        return core::errorOf(list);
    HeldParts held;
    for (const platform::PlatformObject &object : core::valueOf(list).objects)
        held[object.key.substr(kListsPrefix.size())] = {object.version, object.value};
    return held;
}

std::string versionText(const std::optional<HeldPart> &part)
{
    return part ? "version " + std::to_string(part->version) : "no such part";
}

void printDifferences(std::ostream &stream, const std::string &title,
                      const std::optional<HeldPart> &before, const std::string &after)
{
    stream << "  " << title << ":\n";
    for (const auto &line :
         describeDifferences(before ? before->text : "{}", after, kMaxDifferences))
        stream << "    " << line << '\n';
}

/// Shows what the other writer and what this edit changed, both relative to the version read.
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

/// Writes the edits one by one and stops at the first that does not apply.
class EditRun
{
public:
    EditRun(platform::PlatformStore &store, const Streams &streams)
        : store_(store)
        , streams_(streams)
    {
    }

    int run(const std::vector<PartEdit> &edits)
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
        const auto result = writePart(store_, edit, kRetryPause);
        if (const auto *applied = std::get_if<EditApplied>(&result)) {
            streams_.out << edit.part << ": " << versionText(edit.base) << " -> version "
                         << applied->version
                         << (applied->wasRecognised
                                 ? " (the platform already holds this value; answer lost)"
                                 : "")
                         << '\n';
            return Succeeded;
        }
        if (const auto *conflict = std::get_if<EditConflicted>(&result)) {
            fail(streams_, "apply",
                 "conflict on " + edit.part + ": read " + versionText(edit.base)
                     + ", the platform now holds " + versionText(conflict->current),
                 EditConflict);
            printConflict(streams_.err, edit, *conflict);
            return EditConflict;
        }
        const core::Error &error = std::get<core::Error>(result);
        const bool isUnknown = error.verdict != core::Verdict::NotRun;
        return fail(streams_, "apply",
                    edit.part + ": " + error.message + "; the write "
                        + (isUnknown ? "may have taken effect, run apply again" : "took no effect"),
                    PlatformUnreachable);
    }

    platform::PlatformStore &store_;
    const Streams &streams_;
    std::size_t written_ = 0;
};

} // namespace

int ApplyCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    options::options_description description("Options");
    addListOptions(description);
    addPlatformOptions(description);
    description.add_options()("dry-run", "check and show the changes, write nothing")(
        "help", "print this text");
    const auto parsed = parseOptions(name(), description, arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;
    const auto &values = std::get<options::variables_map>(parsed);

    const auto platformOptions = readPlatformOptions(values);
    if (!core::isOk(platformOptions))
        return fail(streams, name(), core::errorOf(platformOptions).message, UsageError);
    const auto files = readListFiles(values);
    if (!core::isOk(files))
        return fail(streams, name(), core::errorOf(files).message, UsageError);
    if (core::valueOf(files).empty())
        return fail(streams, name(), "no file named; see --help", UsageError);

    PlatformSession session(core::valueOf(platformOptions).address,
                            core::valueOf(platformOptions).timeout);
    const auto held = readHeldParts(session.store());
    if (!core::isOk(held))
        return fail(streams, name(), core::errorOf(held).message, PlatformUnreachable);
    std::map<std::string, std::string> wanted;
    for (const auto &[part, file] : core::valueOf(files))
        wanted[part] = file.text;
    const auto plan = planApply(core::valueOf(held), wanted);
    if (const auto *fault = std::get_if<config::ListFault>(&plan)) {
        return fail(streams, name(),
                    describeFault(*fault, core::valueOf(files)) + "; nothing was written",
                    ConditionFailed);
    }
    const auto &edits = std::get<std::vector<PartEdit>>(plan);
    if (edits.empty())
        streams.out << "no part differs from what the platform holds\n";
    if (values.count("dry-run") > 0) {
        for (const PartEdit &edit : edits)
            printDifferences(streams.out, edit.part + ", " + versionText(edit.base), edit.base,
                             edit.text);
        return Succeeded;
    }
    return EditRun(session.store(), streams).run(edits);
}

} // namespace boragerack::cli
