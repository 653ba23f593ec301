#include "ListFiles.h"

#include <algorithm>

#include "CommandOptions.h"
#include "InputFile.h"
#include "boragerack/config/EntitlementsPart.h"
#include "boragerack/config/PlansPart.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

constexpr std::string_view kPlansPrefix = "plans/";
constexpr std::string_view kEntitlementsPrefix = "entitlements/";
/// Maximum size of a value on the platform (docs/design.md, section 2).
constexpr std::size_t kMaxPartBytes = 1'000'000;

std::optional<core::Error> addFiles(const std::vector<std::string> &paths, std::string_view prefix,
                                    ListFiles &files)
{
    for (const std::string &path : paths) {
        auto text = readInputFile(path);
        if (!core::isOk(text))
            return core::errorOf(text);
        if (core::valueOf(text).size() > kMaxPartBytes) {
            return core::makeNotRunError(
                core::ErrorCode::TooLarge,
                path + ": file: found " + std::to_string(core::valueOf(text).size())
                    + " bytes, expected at most " + std::to_string(kMaxPartBytes));
        }
        const std::string part = std::string(prefix) + stemOf(path);
        const auto [earlier, isNew] = files.emplace(part, ListFile {path, core::valueOf(text)});
        if (!isNew) {
            return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                         path + ": part: found \"" + part
                                             + "\" a second time, expected each part once (also "
                                               "in "
                                             + earlier->second.path + ")");
        }
    }
    return std::nullopt;
}

template<class Part>
std::optional<std::string> messageOf(const core::Result<Part> &result)
{
    if (core::isOk(result))
        return std::nullopt;
    return core::errorOf(result).message;
}

bool hasPrefix(const ListFiles &files, std::string_view prefix)
{
    return std::any_of(files.begin(), files.end(),
                       [&](const auto &entry) { return entry.first.starts_with(prefix); });
}

} // namespace

void addListOptions(options::options_description &description)
{
    using Paths = std::vector<std::string>;
    description.add_options()("plans", options::value<Paths>()->value_name("FILE"),
                              "part of the plans list; the file <part>.json is the part "
                              "lists/plans/<part>; may be repeated")(
        "entitlements", options::value<Paths>()->value_name("FILE"),
        "part of the entitlements list; may be repeated");
}

core::Result<ListFiles> readListFiles(const options::variables_map &values)
{
    ListFiles files;
    if (const auto error = addFiles(valuesOf(values, "plans"), kPlansPrefix, files))
        return *error;
    if (const auto error = addFiles(valuesOf(values, "entitlements"), kEntitlementsPrefix, files))
        return *error;
    return files;
}

std::optional<std::string> findListError(const ListFiles &files)
{
    if (hasPrefix(files, kPlansPrefix) && hasPrefix(files, kEntitlementsPrefix)) {
        std::map<std::string, std::string> textByPart;
        for (const auto &[part, file] : files)
            textByPart.emplace(part, file.text);
        const auto checked = config::checkLists(textByPart);
        if (const auto *error = std::get_if<config::ListError>(&checked))
            return describeListError(*error, files);
        return std::nullopt;
    }
    for (const auto &[part, file] : files) {
        auto message = part.starts_with(kPlansPrefix)
            ? messageOf(config::parsePlansPart(file.path, file.text))
            : messageOf(config::parseEntitlementsPart(file.path, file.text));
        if (message)
            return message;
    }
    return std::nullopt;
}

std::string describeListError(const config::ListError &error, const ListFiles &files)
{
    const std::string key = "lists/" + error.part;
    const auto file = files.find(error.part);
    if (file != files.end() && error.message.starts_with(key))
        return file->second.path + error.message.substr(key.size());
    return error.message;
}

} // namespace boragerack::cli
