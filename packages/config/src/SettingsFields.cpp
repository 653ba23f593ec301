#include "SettingsFields.h"

namespace boragerack::config {

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
    constexpr std::int64_t kMaxMs = 3'600'000;
    return std::chrono::milliseconds(reader.readInteger(name, 1, kMaxMs, fallback.count()));
}

} // namespace boragerack::config
