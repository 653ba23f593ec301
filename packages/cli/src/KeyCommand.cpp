#include "KeyCommand.h"

#include <algorithm>
#include <istream>
#include <iterator>
#include <ostream>

#include "CommandOptions.h"
#include "boragerack/core/Digest.h"

namespace boragerack::cli {

namespace options = boost::program_options;

namespace {

/// Whether an Authorization header transmits the character unchanged.
bool isKeyCharacter(char character)
{
    return character > ' ' && character <= '~';
}

} // namespace

int KeyCommand::run(const std::vector<std::string> &arguments, const Streams &streams)
{
    options::options_description description("The key is read from standard input");
    description.add_options()("help", "print this text");
    const auto parsed = parseOptions(name(), description, arguments, streams);
    if (const ExitCode *code = std::get_if<ExitCode>(&parsed))
        return *code;

    std::string key((std::istreambuf_iterator<char>(streams.in)), std::istreambuf_iterator<char>());
    if (key.ends_with('\n'))
        key.pop_back();
    if (key.ends_with('\r'))
        key.pop_back();
    if (key.empty())
        return reportError(streams, name(), "standard input: found nothing, expected a key",
                           UsageError);
    if (!std::all_of(key.begin(), key.end(), isKeyCharacter)) {
        return reportError(
            streams, name(),
            "standard input: found a space, control or non-ASCII character, expected "
            "printable ASCII in one line",
            ConditionFailed);
    }
    streams.out << core::toHex(core::makeDigest(key)) << '\n';
    return Succeeded;
}

} // namespace boragerack::cli
