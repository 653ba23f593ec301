#include "ServingReview.h"

#include <utility>
#include <variant>

#include "InputFile.h"
#include "boragerack/adapter/Adapter.h"
#include "boragerack/decisions/review/ConfigurationCheck.h"

namespace boragerack::cli {

namespace {

core::Error unavailable(const core::Error &cause)
{
    return core::makeNotRunError(core::ErrorCode::PlatformUnavailable,
                                 "cannot read the version in effect: " + cause.message);
}

std::map<core::ServiceId, std::size_t> countTargets(const gateway::TargetsRead &targets)
{
    std::map<core::ServiceId, std::size_t> counts;
    for (const decisions::targets::Event &event : targets.events) {
        const auto *list = std::get_if<decisions::targets::Listed>(&event);
        if (!list)
            continue;
        for (const decisions::TargetEntry &entry : list->entries)
            ++counts[entry.service];
    }
    return counts;
}

} // namespace

ServingReview::ServingReview(std::string path, std::unique_ptr<config::ConfigurationReader> reader)
    : path_(std::move(path))
    , reader_(std::move(reader))
{
}

core::Result<decisions::ServingConfiguration> ServingReview::readFile(const std::string &path) const
{
    const auto text = readInputFile(path);
    if (!core::isOk(text))
        return core::errorOf(text);
    auto configuration = reader_->read(core::valueOf(text));
    if (!core::isOk(configuration)) {
        return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                     path + ": " + core::errorOf(configuration).message);
    }
    return configuration;
}

core::Result<decisions::ServingConfiguration>
ServingReview::readBase(const ReviewBase &base, decisions::ReviewContext &context) const
{
    if (!base.platform)
        return readFile(base.files.front());
    PlatformSession session(base.platform->address, base.platform->timeout);
    const auto source = adapter::makeServingSource(session.client(), base.platform->address);
    auto read = source->readConfiguration(gateway::ReadMode::Current);
    if (!core::isOk(read))
        return unavailable(core::errorOf(read));
    const auto targets = source->listTargets();
    if (!core::isOk(targets))
        return unavailable(core::errorOf(targets));
    context.targetsByService = countTargets(core::valueOf(targets));
    return core::takeValue(std::move(read))
        .configuration.value_or(decisions::ServingConfiguration());
}

core::Result<ReviewReport> ServingReview::review(decisions::ReviewContext context,
                                                 const ReviewBase &base) const
{
    const auto configuration = readFile(path_);
    if (!core::isOk(configuration))
        return core::errorOf(configuration);
    ReviewReport report;
    if (!base.files.empty() || base.platform) {
        const auto other = readBase(base, context);
        if (!core::isOk(other))
            return core::errorOf(other);
        report.differences =
            decisions::findDifferences(core::valueOf(other), core::valueOf(configuration));
        if (base.platform && !report.differences.empty())
            context.versionInEffect = core::valueOf(other).version;
    }
    for (decisions::ConfigurationFinding &finding :
         decisions::checkConfiguration(core::valueOf(configuration), context)) {
        report.findings.push_back(
            {finding.code, reader_->describePlace(finding.place), std::move(finding.sentence)});
    }
    return report;
}

} // namespace boragerack::cli
