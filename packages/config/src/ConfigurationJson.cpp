#include "boragerack/config/ConfigurationJson.h"

#include <charconv>
#include <limits>
#include <system_error>
#include <utility>

#include "ObjectReader.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

std::uint64_t readNumber(ObjectReader &reader, std::string_view name)
{
    return static_cast<std::uint64_t>(reader.readInteger(name, 0, kMaxNumber));
}

/// Reads a 64-bit number from a string: incarnations use all 64 bits, which not every JSON parser
/// preserves in a number.
std::uint64_t readUint64String(ObjectReader &reader, std::string_view name,
                               ParseErrorCollector &errors)
{
    const std::string text = reader.readText(name);
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size())
        errors.report(reader.pathOf(name), "\"" + text + "\"", "decimal digits in a string");
    return number;
}

decisions::PartDigest readPart(const json::value &value, const std::string &path,
                               ParseErrorCollector &errors)
{
    ObjectReader reader(value, path, errors);
    decisions::PartDigest part {reader.readText("name"), {}};
    const std::string hex = reader.readText("digest");
    if (const auto digest = core::parseDigest(hex))
        part.digest = *digest;
    else
        errors.report(reader.pathOf("digest"), "\"" + hex + "\"", "64 hexadecimal digits");
    reader.finish();
    return part;
}

} // namespace

std::string serialiseConfigurationHead(const decisions::ConfigurationHead &head)
{
    json::array parts;
    for (const decisions::PartDigest &part : head.parts)
        parts.push_back({{"name", part.name}, {"digest", core::toHex(part.digest)}});
    return json::serialize(json::value {
        {"version", head.version},
        {"listRevision", head.listRevision},
        {"writer", head.writer.value},
        {"writerIncarnation", std::to_string(head.writerIncarnation)},
        {"sequence", head.sequence},
        {"parts", std::move(parts)},
    });
}

core::Result<decisions::ConfigurationHead> parseConfigurationHead(std::string_view text)
{
    ParseErrorCollector errors {"config/accepted", {}};
    decisions::ConfigurationHead head;
    readDocument(text, errors, [&](ObjectReader &reader) {
        head.version = readNumber(reader, "version");
        head.listRevision = readNumber(reader, "listRevision");
        head.writer.value = reader.readName("writer");
        head.writerIncarnation = readUint64String(reader, "writerIncarnation", errors);
        head.sequence = readNumber(reader, "sequence");
        reader.readArray("parts", [&](const json::value &value, const std::string &path) {
            head.parts.push_back(readPart(value, path, errors));
        });
    });
    if (errors.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *errors.message);
    return head;
}

std::string serialiseStatus(const decisions::ConfigurationStatus &status)
{
    json::array rejected;
    for (const decisions::RejectedPart &part : status.rejected)
        rejected.push_back(
            {{"name", part.name}, {"version", part.version}, {"reason", part.reason}});
    return json::serialize(json::value {
        {"acceptedVersion", status.acceptedVersion},
        {"listRevision", status.listRevision},
        {"rejected", std::move(rejected)},
    });
}

core::Result<decisions::ConfigurationStatus> parseStatus(std::string_view text)
{
    ParseErrorCollector errors {"status/config", {}};
    decisions::ConfigurationStatus status;
    readDocument(text, errors, [&](ObjectReader &reader) {
        status.acceptedVersion = readNumber(reader, "acceptedVersion");
        status.listRevision = readNumber(reader, "listRevision");
        reader.readArray("rejected", [&](const json::value &value, const std::string &path) {
            ObjectReader part(value, path, errors);
            status.rejected.push_back(
                {part.readText("name"), readNumber(part, "version"), part.readText("reason")});
            part.finish();
        });
    });
    if (errors.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *errors.message);
    return status;
}

} // namespace boragerack::config
