#include "FleetSecret.h"

#include <array>
#include <cstdio>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::gateway {

namespace {

const std::string kSecretKey = "coordination/secret";

std::string makeSecret(core::RandomSource &random)
{
    std::string secret;
    constexpr int kSecretWords = 4;
    for (int i = 0; i < kSecretWords; ++i) {
        std::array<char, 17> word;
        std::snprintf(word.data(), word.size(), "%016llx",
                      static_cast<unsigned long long>(random.next()));
        secret += word.data();
    }
    return secret;
}

std::string quote(const std::string &secret)
{
    return "\"" + secret + "\"";
}

/// Removes the quotes of a JSON string. The secret contains no escape sequences.
std::string unquote(const std::string &value)
{
    return value.size() > 2 ? value.substr(1, value.size() - 2) : std::string();
}

} // namespace

std::optional<std::string> readFleetSecret(platform::PlatformStore &store,
                                           core::RandomSource &random)
{
    const auto read = store.read(kSecretKey);
    if (!core::isOk(read))
        return std::nullopt;
    if (const auto &object = core::valueOf(read))
        return unquote(object->value);
    const std::string secret = makeSecret(random);
    const auto written = store.write(kSecretKey, quote(secret), std::nullopt);
    if (std::holds_alternative<platform::WriteApplied>(written))
        return secret;
    // Another node wrote it first, or the outcome is unknown; the next read resolves both.
    return std::nullopt;
}

bool restoreFleetSecret(platform::PlatformStore &store, const std::string &secret)
{
    const auto written = store.write(kSecretKey, quote(secret), std::nullopt);
    if (const auto *conflict = std::get_if<platform::WriteConflict>(&written);
        conflict && conflict->current && unquote(conflict->current->value) != secret)
        runtime::logEvent(runtime::LogEvent::PeerRejected,
                          "the platform has another fleet secret since it was restored");
    return !std::holds_alternative<core::Error>(written);
}

} // namespace boragerack::gateway
