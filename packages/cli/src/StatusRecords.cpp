#include "StatusRecords.h"

#include <exception>

#include <boost/json.hpp>

namespace boragerack::cli {

namespace json = boost::json;

namespace {

/// Parses `text` and calls `read`. Boost.JSON throws on a missing member or a wrong type; the
/// result is then empty.
template<class Reader>
auto parseRecord(std::string_view text, Reader read) -> std::optional<decltype(read(json::value()))>
{
    try {
        return read(json::parse(text));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::optional<MemberStatus> parseMemberStatus(std::string_view text)
{
    return parseRecord(text, [](const json::value &value) {
        return MemberStatus {json::value_to<std::string>(value.at("instance")),
                             json::value_to<std::string>(value.at("dataCentre")),
                             json::value_to<std::string>(value.at("callerAddress")),
                             json::value_to<std::string>(value.at("peerAddress")),
                             value.at("incarnation").to_number<std::uint64_t>()};
    });
}

std::optional<ReservedMemory> parseReservedMemory(std::string_view text)
{
    return parseRecord(text, [](const json::value &value) {
        ReservedMemory memory;
        memory.memoryMiB = value.at("memoryMiB").to_number<std::uint64_t>();
        for (const json::value &intent : value.at("intents").as_array()) {
            memory.reservedMiB += intent.at("memoryMiB").to_number<std::uint64_t>();
            ++memory.reservations;
        }
        return memory;
    });
}

std::optional<std::string> parsePartText(std::string_view text)
{
    return parseRecord(text, [](const json::value &value) {
        return json::value_to<std::string>(value.at("text"));
    });
}

} // namespace boragerack::cli
