#include "ListsReview.h"

#include <utility>
#include <variant>

#include "InputFile.h"
#include "PartReader.h"
#include "boragerack/config/EntitlementsPart.h"

namespace boragerack::cli {

namespace {

using TextByPart = std::map<std::string, std::string>;

core::Error unreadable(std::string message)
{
    return core::makeNotRunError(core::ErrorCode::InvalidRequest, std::move(message));
}

/// Replaces the platform key of a part at the start of the text by the path of its file.
std::string withFilePath(const std::string &text, const ListFiles &files)
{
    const std::size_t end = text.find(": ");
    constexpr std::string_view kPrefix = "lists/";
    if (end == std::string::npos || !text.starts_with(kPrefix))
        return text;
    const auto file = files.find(text.substr(kPrefix.size(), end - kPrefix.size()));
    return file == files.end() ? text : file->second.path + text.substr(end);
}

/// Whether the text is a part of the plans list. A text that is no valid part of either list is
/// judged by the member that only the plans list has, so that the error is about that list.
bool isPlansText(const std::string &path, const std::string &text)
{
    return !core::isOk(config::parseEntitlementsPart(path, text))
        && text.find("\"organisations\"") != std::string::npos;
}

/// Parts of the files to compare with.
core::Result<ListFiles> readBaseFiles(const std::vector<std::string> &paths)
{
    ListFiles files;
    for (const std::string &path : paths) {
        auto text = readInputFile(path);
        if (!core::isOk(text))
            return core::errorOf(text);
        // The number keeps files of one name in different directories apart.
        const std::string part =
            std::string(isPlansText(path, core::valueOf(text)) ? "plans/" : "entitlements/")
            + std::to_string(files.size()) + "-" + stemOf(path);
        files[part] = {path, core::takeValue(std::move(text))};
    }
    return files;
}

TextByPart textsOf(const ListFiles &files)
{
    TextByPart texts;
    for (const auto &[part, file] : files)
        texts.emplace(part, file.text);
    return texts;
}

core::Result<config::ListReview> reviewTexts(const TextByPart &texts, const ListFiles &files,
                                             const decisions::ReviewContext &context)
{
    auto review = config::reviewLists(texts, context);
    if (const auto *error = std::get_if<config::ListError>(&review))
        return unreadable(describeListError(*error, files));
    return std::get<config::ListReview>(std::move(review));
}

} // namespace

ListsReview::ListsReview(ListFiles files)
    : files_(std::move(files))
{
}

core::Result<ReviewReport> ListsReview::review(decisions::ReviewContext context,
                                               const ReviewBase &base) const
{
    TextByPart texts = textsOf(files_);
    TextByPart baseTexts;
    ListFiles baseFiles;
    if (base.platform) {
        PlatformSession session(base.platform->address, base.platform->timeout);
        const auto stored = readStoredParts(session.store());
        if (!core::isOk(stored))
            return core::errorOf(stored);
        for (const auto &[part, object] : core::valueOf(stored))
            baseTexts.emplace(part, object.text);
        texts.insert(baseTexts.begin(), baseTexts.end());
    } else {
        auto read = readBaseFiles(base.files);
        if (!core::isOk(read))
            return core::errorOf(read);
        baseFiles = core::takeValue(std::move(read));
        baseTexts = textsOf(baseFiles);
    }
    auto review = reviewTexts(texts, files_, context);
    if (!core::isOk(review))
        return core::errorOf(review);
    ReviewReport report;
    report.findings = core::valueOf(review).findings;
    for (config::PlacedFinding &finding : report.findings)
        finding.place = withFilePath(finding.place, files_);
    if (base.platform || !baseTexts.empty()) {
        const auto other = reviewTexts(baseTexts, baseFiles, {});
        if (!core::isOk(other))
            return core::errorOf(other);
        report.differences = decisions::findDifferences(core::valueOf(other).contents,
                                                        core::valueOf(review).contents);
    }
    return report;
}

} // namespace boragerack::cli
