#include "SettingsFields.h"

namespace boragerack::config {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;
using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds kMaxDuration = std::chrono::hours(1);

std::chrono::milliseconds roundTo(Milliseconds time, Rounding rounding)
{
    // Seconds such as 0.003 have no exact representation and must not lose a millisecond.
    constexpr double kRepresentationErrorMs = 1e-6;
    return rounding == Rounding::Down
        ? std::chrono::floor<std::chrono::milliseconds>(time + Milliseconds(kRepresentationErrorMs))
        : std::chrono::ceil<std::chrono::milliseconds>(time - Milliseconds(kRepresentationErrorMs));
}

} // namespace

SocketAddress readAddressText(const std::string &text, const std::string &path,
                              ParseErrorCollector &errors)
{
    if (const auto address = parseSocketAddress(text))
        return *address;
    errors.report(path, "\"" + text + "\"", std::string(kExpectedAddress));
    return {};
}

SocketAddress readAddress(ObjectReader &reader, std::string_view name, ParseErrorCollector &errors)
{
    const std::string text = reader.readText(name);
    return readAddressText(text, reader.pathOf(name), errors);
}

std::chrono::milliseconds readMs(ObjectReader &reader, std::string_view name,
                                 std::chrono::milliseconds fallback)
{
    return roundTo(Milliseconds(reader.readNumber(name, 1, Milliseconds(kMaxDuration).count(),
                                                  Milliseconds(fallback).count())),
                   Rounding::Down);
}

std::chrono::milliseconds readDuration(ObjectReader &reader, const std::string &name,
                                       std::chrono::milliseconds lowest,
                                       std::chrono::milliseconds fallback, Rounding rounding,
                                       ParseErrorCollector &errors)
{
    const std::string inMs = name + "Ms";
    const std::string inSeconds = name + "S";
    if (!reader.contains(inSeconds))
        return roundTo(Milliseconds(reader.readNumber(inMs, Milliseconds(lowest).count(),
                                                      Milliseconds(kMaxDuration).count(),
                                                      Milliseconds(fallback).count())),
                       rounding);
    if (reader.contains(inMs))
        errors.report(reader.pathOf(inSeconds), "a second value", "either this or " + inMs);
    return roundTo(
        Seconds(reader.readNumber(inSeconds, Seconds(lowest).count(), Seconds(kMaxDuration).count(),
                                  Seconds(fallback).count())),
        rounding);
}

std::int64_t readLimit(ObjectReader &reader, std::string_view name, std::int64_t lowest,
                       std::int64_t highest, std::int64_t fallback)
{
    return static_cast<std::int64_t>(reader.readNumber(name, static_cast<double>(lowest),
                                                       static_cast<double>(highest),
                                                       static_cast<double>(fallback)));
}

} // namespace boragerack::config
