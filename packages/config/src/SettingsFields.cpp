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

template<class Unit>
std::chrono::milliseconds readTime(ObjectReader &reader, std::string_view name,
                                   std::chrono::milliseconds lowest,
                                   std::chrono::milliseconds fallback, Rounding rounding)
{
    return roundTo(Unit(reader.readNumber(name, Unit(lowest).count(), Unit(kMaxDuration).count(),
                                          Unit(fallback).count())),
                   rounding);
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
    return readTime<Milliseconds>(reader, name, std::chrono::milliseconds(1), fallback,
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
        return readTime<Milliseconds>(reader, inMs, lowest, fallback, rounding);
    if (reader.contains(inMs))
        errors.report(reader.pathOf(inSeconds), "a second value", "either this or " + inMs);
    return readTime<Seconds>(reader, inSeconds, lowest, fallback, rounding);
}

std::int64_t readLimit(ObjectReader &reader, std::string_view name, std::int64_t lowest,
                       std::int64_t highest, std::int64_t fallback)
{
    return static_cast<std::int64_t>(reader.readNumber(name, static_cast<double>(lowest),
                                                       static_cast<double>(highest),
                                                       static_cast<double>(fallback)));
}

} // namespace boragerack::config
