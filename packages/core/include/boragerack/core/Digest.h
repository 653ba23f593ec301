#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace boragerack::core {

/// A SHA-256 digest. Equality is evaluated in constant time, because callers' keys are compared by
/// their digests.
struct Digest
{
    std::array<std::uint8_t, 32> bytes = {};

    friend bool operator==(const Digest &left, const Digest &right);
    friend auto operator<=>(const Digest &left, const Digest &right)
    {
        return left.bytes <=> right.bytes;
    }
};

/// SHA-256 digest of the bytes of the text.
Digest makeDigest(std::string_view text);

/// Parses 64 hexadecimal digits of either case; std::nullopt for any other text.
std::optional<Digest> parseDigest(std::string_view hex);

/// The digest as 64 lower-case hexadecimal digits.
std::string toHex(const Digest &digest);

} // namespace boragerack::core

template<>
struct std::hash<boragerack::core::Digest>
{
    std::size_t operator()(const boragerack::core::Digest &digest) const noexcept
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < sizeof(result); ++i)
            result = result << 8 | digest.bytes[i];
        return result;
    }
};
