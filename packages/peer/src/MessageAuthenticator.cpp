#include "boragerack/peer/MessageAuthenticator.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "EnvelopeCodec.h"

namespace boragerack::peer {

namespace {

// Key and length of the protobuf field `tag` (number 15, 32 bytes). The field is written after all
// others, so that the tag covers exactly the bytes before it.
constexpr std::string_view kTagFieldHeader = "\x7a\x20";

// Keeps the tag of a request from being valid for an answer and the reverse.
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

/// Keyed HMAC context that is restarted for each message.
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
        // An unusable library must not lead to messages with a predictable tag.
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

/// Splits a sealed message; nothing when no tag stands at its end.
std::optional<std::pair<std::string_view, core::Digest>> splitTag(std::string_view bytes)
{
    core::Digest tag;
    const std::size_t tagFieldSize = kTagFieldHeader.size() + tag.bytes.size();
    if (bytes.size() < tagFieldSize)
        return std::nullopt;
    const std::string_view field = bytes.substr(bytes.size() - tagFieldSize);
    if (field.substr(0, kTagFieldHeader.size()) != kTagFieldHeader)
        return std::nullopt;
    std::copy(field.begin() + kTagFieldHeader.size(), field.end(), tag.bytes.begin());
    return std::pair(bytes.substr(0, bytes.size() - tagFieldSize), tag);
}

void appendTag(std::string &bytes, const core::Digest &tag)
{
    bytes += kTagFieldHeader;
    bytes += viewOf(tag);
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

SealedMessage MessageAuthenticator::sealRequest(const core::InstanceId &receiver,
                                                std::uint64_t counter, MessageBody body) const
{
    SealedMessage message;
    message.bytes = encodeEnvelope({self_, receiver, incarnation_, counter, std::move(body)});
    message.tag = hmac_->compute(kRequestDomain, {}, message.bytes);
    appendTag(message.bytes, message.tag);
    return message;
}

SealedMessage MessageAuthenticator::sealAnswer(const RequestIdentity &request,
                                               MessageBody body) const
{
    SealedMessage message;
    message.bytes =
        encodeEnvelope({self_, request.sender, incarnation_, request.counter, std::move(body)});
    message.tag = hmac_->compute(kAnswerDomain, viewOf(request.tag), message.bytes);
    appendTag(message.bytes, message.tag);
    return message;
}

core::Result<OpenedRequest> MessageAuthenticator::openRequest(std::string_view bytes) const
{
    const auto parts = splitTag(bytes);
    if (!parts || hmac_->compute(kRequestDomain, {}, parts->first) != parts->second)
        return makeRejection("peer message has a wrong authentication tag");
    auto decoded = decodeEnvelope(parts->first);
    if (!core::isOk(decoded))
        return core::errorOf(decoded);
    Envelope envelope = core::takeValue(std::move(decoded));
    const bool needsNoReceiver = std::holds_alternative<decisions::ConfigFetch>(envelope.body);
    if (envelope.receiver != self_ && !(envelope.receiver.value.empty() && needsNoReceiver)) {
        return makeRejection("peer message is addressed to \"" + envelope.receiver.value
                             + "\", not to this instance");
    }
    return OpenedRequest {std::move(envelope), parts->second};
}

core::Result<Envelope> MessageAuthenticator::openAnswer(std::string_view bytes,
                                                        const core::Digest &requestTag) const
{
    const auto parts = splitTag(bytes);
    if (!parts || hmac_->compute(kAnswerDomain, viewOf(requestTag), parts->first) != parts->second)
        return makeRejection("answer of a peer has a wrong authentication tag");
    return decodeEnvelope(parts->first);
}

} // namespace boragerack::peer
