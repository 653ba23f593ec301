#include "boragerack/peer/MessageAuthenticator.h"

#include <cstdlib>
#include <optional>
#include <utility>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "EnvelopeCodec.h"

namespace boragerack::peer {

namespace {

// RFC 2104 section 5 permits truncation to half of the digest; this saves 16 bytes per message.
constexpr std::size_t kTagBytes = 16;

// Key and length of the protobuf field `tag` (number 15, 16 bytes). The field is written after all
// others, so that the tag covers exactly the bytes before it.
constexpr std::string_view kTagFieldHeader = "\x7a\x10";

// Domain separation: the tag of a request is never valid for a reply, nor the reverse.
constexpr std::string_view kRequestDomain = "boragerack peer request";
constexpr std::string_view kAnswerDomain = "boragerack peer answer";

std::string_view viewOf(const core::Digest &digest)
{
    return {reinterpret_cast<const char *>(digest.bytes.data()), digest.bytes.size()};
}

core::Error makeRejection(std::string message)
{
    return core::makeNotRunError(core::ErrorCode::Unauthenticated, std::move(message));
}

} // namespace

/// Keyed HMAC context that is reinitialised for each message.
class MessageAuthenticator::Hmac
{
public:
    static std::unique_ptr<Hmac> make(std::string_view secret)
    {
        EVP_MAC *mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
        auto hmac = std::unique_ptr<Hmac>(new Hmac(mac ? EVP_MAC_CTX_new(mac) : nullptr));
        EVP_MAC_free(mac);
        char digestName[] = "SHA256";
        const OSSL_PARAM parameters[] = {
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digestName, 0),
            OSSL_PARAM_construct_end()};
        if (!hmac->context_
            || EVP_MAC_init(hmac->context_, reinterpret_cast<const unsigned char *>(secret.data()),
                            secret.size(), parameters)
                != 1)
            return nullptr;
        return hmac;
    }

    Hmac(const Hmac &) = delete;
    Hmac &operator=(const Hmac &) = delete;
    ~Hmac() { EVP_MAC_CTX_free(context_); }

    core::Digest compute(std::string_view domain, std::string_view context,
                         std::string_view bytes) const
    {
        core::Digest digest;
        std::size_t size = 0;
        // Aborts if OpenSSL fails, because a message must not be sent with a predictable tag.
        if (EVP_MAC_init(context_, nullptr, 0, nullptr) != 1 || !update(domain) || !update(context)
            || !update(bytes)
            || EVP_MAC_final(context_, digest.bytes.data(), &size, digest.bytes.size()) != 1
            || size != digest.bytes.size())
            std::abort();
        return digest;
    }

private:
    explicit Hmac(EVP_MAC_CTX *context)
        : context_(context)
    {
    }

    bool update(std::string_view bytes) const
    {
        return EVP_MAC_update(context_, reinterpret_cast<const unsigned char *>(bytes.data()),
                              bytes.size())
            == 1;
    }

    EVP_MAC_CTX *context_;
};

namespace {

/// Splits a signed message into content and tag; nullopt when it does not end with a tag.
std::optional<std::pair<std::string_view, std::string_view>> splitTag(std::string_view bytes)
{
    constexpr std::size_t kTagFieldBytes = kTagFieldHeader.size() + kTagBytes;
    if (bytes.size() < kTagFieldBytes)
        return std::nullopt;
    const std::size_t contentBytes = bytes.size() - kTagFieldBytes;
    if (bytes.substr(contentBytes, kTagFieldHeader.size()) != kTagFieldHeader)
        return std::nullopt;
    return std::pair(bytes.substr(0, contentBytes), bytes.substr(bytes.size() - kTagBytes));
}

/// Compares in constant time, to prevent timing attacks.
bool matches(std::string_view tag, const core::Digest &digest)
{
    return CRYPTO_memcmp(tag.data(), digest.bytes.data(), kTagBytes) == 0;
}

void appendTag(std::string &bytes, const core::Digest &tag)
{
    bytes += kTagFieldHeader;
    bytes += viewOf(tag).substr(0, kTagBytes);
}

} // namespace

core::Result<std::shared_ptr<const MessageAuthenticator>>
MessageAuthenticator::make(std::string_view secret, core::InstanceId self,
                           std::uint64_t incarnation)
{
    if (secret.size() < kMinimumSecretBytes) {
        return core::makeNotRunError(core::ErrorCode::InvalidRequest,
                                     "fleet secret is shorter than "
                                         + std::to_string(kMinimumSecretBytes) + " bytes");
    }
    auto hmac = Hmac::make(secret);
    if (!hmac)
        return core::makeNotRunError(core::ErrorCode::Internal, "HMAC-SHA256 is not available");
    return std::shared_ptr<const MessageAuthenticator>(
        new MessageAuthenticator(std::move(hmac), std::move(self), incarnation));
}

MessageAuthenticator::MessageAuthenticator(std::unique_ptr<Hmac> hmac, core::InstanceId self,
                                           std::uint64_t incarnation)
    : hmac_(std::move(hmac))
    , self_(std::move(self))
    , incarnation_(incarnation)
{
}

MessageAuthenticator::~MessageAuthenticator() = default;

SignedMessage MessageAuthenticator::signRequest(const core::InstanceId &receiver,
                                                std::uint64_t counter, MessageBody body) const
{
    SignedMessage message;
    message.bytes = encodeEnvelope({self_, receiver, incarnation_, counter, std::move(body)});
    message.tag = hmac_->compute(kRequestDomain, {}, message.bytes);
    appendTag(message.bytes, message.tag);
    return message;
}

SignedMessage MessageAuthenticator::signReply(const ReplyContext &request, MessageBody body) const
{
    SignedMessage message;
    message.bytes = encodeReply({self_, request.sender, incarnation_, 0, std::move(body)});
    message.tag = hmac_->compute(kAnswerDomain, viewOf(request.tag), message.bytes);
    appendTag(message.bytes, message.tag);
    return message;
}

core::Result<VerifiedRequest> MessageAuthenticator::verifyRequest(std::string_view bytes) const
{
    const auto parts = splitTag(bytes);
    const core::Digest tag = hmac_->compute(kRequestDomain, {}, parts ? parts->first : bytes);
    if (!parts || !matches(parts->second, tag))
        return makeRejection("peer message has a wrong authentication tag");
    auto decoded = decodeEnvelope(parts->first);
    if (!core::isOk(decoded))
        return core::errorOf(decoded);
    Envelope envelope = core::takeValue(std::move(decoded));
    const bool needsNoReceiver = std::holds_alternative<decisions::MemberFetch>(envelope.body);
    if (envelope.receiver != self_ && !(envelope.receiver.value.empty() && needsNoReceiver)) {
        return makeRejection("peer message is addressed to \"" + envelope.receiver.value
                             + "\", not to this instance");
    }
    return VerifiedRequest {std::move(envelope), tag};
}

core::Result<Envelope> MessageAuthenticator::verifyReply(std::string_view bytes,
                                                         const core::Digest &requestTag) const
{
    const auto parts = splitTag(bytes);
    if (!parts
        || !matches(parts->second, hmac_->compute(kAnswerDomain, viewOf(requestTag), parts->first)))
        return makeRejection("answer of a peer has a wrong authentication tag");
    return decodeReply(parts->first, self_);
}

} // namespace boragerack::peer
