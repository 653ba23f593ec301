#include "boragerack/core/Digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace boragerack::core {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::optional<std::uint8_t> parseHexDigit(char digit)
{
    if (digit >= 'A' && digit <= 'F')
        digit = static_cast<char>(digit - 'A' + 'a');
    if (const auto position = kHexDigits.find(digit); position != std::string_view::npos)
        return static_cast<std::uint8_t>(position);
    return std::nullopt;
}

} // namespace

bool operator==(const Digest &left, const Digest &right)
{
    return CRYPTO_memcmp(left.bytes.data(), right.bytes.data(), left.bytes.size()) == 0;
}

Digest makeDigest(std::string_view text)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.bytes.data());
    return digest;
}

std::optional<Digest> parseDigest(std::string_view hex)
{
    Digest digest;
    if (hex.size() != 2 * digest.bytes.size())
        return std::nullopt;
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        const auto high = parseHexDigit(hex[2 * i]);
        const auto low = parseHexDigit(hex[2 * i + 1]);
        if (!high || !low)
            return std::nullopt;
        digest.bytes[i] = static_cast<std::uint8_t>(*high << 4 | *low);
    }
    return digest;
}

std::string toHex(const Digest &digest)
{
    std::string hex;
    hex.reserve(2 * digest.bytes.size());
    for (const std::uint8_t byte : digest.bytes) {
        hex += kHexDigits[byte >> 4];
        hex += kHexDigits[byte & 0xf];
    }
    return hex;
}

} // namespace boragerack::core
