#include "ReviewCommand.h"

#include <memory>
#include <ostream>
#include <utility>

#include "CommandOptions.h"
#include "ListsReview.h"
#include "ServingReview.h"
#include "boragerack/adapter/Adapter.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

constexpr const char *kExitCodes = "Exit codes, which differ from those of the other subcommands:\n"
                                   "  0  no finding\n"
                                   "  1  warnings\n"
                                   "  2  errors\n"
                                   "  3  unreadable input, or invalid arguments\n"
                                   "  4  the platform does not answer (--in-effect)\n";

options::options_description describeOptions()
{
    options::options_description description("Options");
    description.add_options()("configuration", options::value<std::string>()->value_name("FILE"),
                              "configuration of the users' platform");
    addListOptions(description);
    description.add_options()(
        "against", options::value<std::vector<std::string>>()->value_name("FILE"),
        "show the differences from this file; may be repeated for parts of the lists")(
        "in-effect", "show the differences from the version in the platform's store")(
        "platform", options::value<std::string>()->value_name("ADDRESS"),
        "address and port of the platform's object API, for --in-effect")(
        "timeout-ms", options::value<std::int64_t>()->default_value(kDefaultPlatformTimeoutMs),
        "time limit of one call that reads the lists from the platform")(
        "largest-request", options::value<std::int64_t>()->value_name("TOKENS"),
        "tokens of the largest request that callers send")(
        "largest-target", options::value<std::int64_t>()->value_name("MIB"),
        "memory of the largest target, for the lists")(
        "format", options::value<std::string>()->default_value("text"),
        "text or json")("help", "print this text");
    return description;
}

/// Error for options that exclude or require each other.
std::optional<std::string> findOptionError(const options::variables_map &values, bool hasLists)
{
    const bool hasConfiguration = values.count("configuration") > 0;
    if (hasConfiguration == hasLists)
        return "expected either --configuration or files of the lists; see --help";
    if (values.count("in-effect") > 0 && values.count("against") > 0)
        return "expected only one of --against and --in-effect";
    if ((values.count("in-effect") > 0) != (values.count("platform") > 0))
        return "--in-effect and --platform need each other";
    if (hasConfiguration && valuesOf(values, "against").size() > 1)
        return "expected one file for --against";
    if (const auto &format = values["format"].as<std::string>();
        format != "text" && format != "json")
        return "--format: found \"" + format + "\", expected text or json";
    for (const char *name : {"largest-request", "largest-target"}) {
        if (values.count(name) > 0 && values[name].as<std::int64_t>() < 1)
            return std::string("--") + name + ": expected an integer of at least 1";
    }
    return std::nullopt;
}

std::optional<std::int64_t> numberOf(const options::variables_map &values, const char *name)
{
    return values.count(name) > 0 ? std::optional(values[name].as<std::int64_t>()) : std::nullopt;
}

} // namespace

int ReviewCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    const auto fail = [&](const std::string &message) {
        reportError(streams, name(), message, UsageError);
        return ReviewUnreadable;
    };
    const auto parsed = parseOptions(name(), describeOptions(), arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed)) {
        if (*code != Succeeded)
            return ReviewUnreadable;
        streams.out << kExitCodes;
        return ReviewClean;
    }
    const auto &values = std::get<options::variables_map>(parsed);
    auto files = readListFiles(values);
    if (!core::isOk(files))
        return fail(core::errorOf(files).message);
    if (const auto error = findOptionError(values, !core::valueOf(files).empty()))
        return fail(*error);

    ReviewBase base {valuesOf(values, "against"), {}};
    if (values.count("in-effect") > 0) {
        auto platform = readPlatformOptions(values);
        if (!core::isOk(platform))
            return fail(core::errorOf(platform).message);
        base.platform = core::takeValue(std::move(platform));
    }
    std::unique_ptr<ReviewSubject> subject;
    if (values.count("configuration") > 0) {
        subject = std::make_unique<ServingReview>(values["configuration"].as<std::string>(),
                                                  adapter::makeConfigurationReader());
    } else
        subject = std::make_unique<ListsReview>(core::takeValue(std::move(files)));

    decisions::ReviewContext context;
    context.largestRequestTokens = numberOf(values, "largest-request");
    context.largestTargetMiB = numberOf(values, "largest-target");
    const auto report = subject->review(std::move(context), base);
    if (!core::isOk(report)) {
        const core::Error &error = core::errorOf(report);
        if (error.code == core::ErrorCode::PlatformUnavailable)
            return reportError(streams, name(), error.message, PlatformUnreachable);
        return fail(error.message);
    }
    if (values["format"].as<std::string>() == "json")
        printReviewJson(core::valueOf(report), streams.out);
    else
        printReviewText(core::valueOf(report), streams.out);
    return core::valueOf(report).exitCode();
}

} // namespace boragerack::cli
