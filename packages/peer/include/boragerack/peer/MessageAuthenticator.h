#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "boragerack/core/Digest.h"
#include "boragerack/core/Result.h"
#include "boragerack/peer/Envelope.h"

namespace boragerack::peer {

/// An encoded envelope with its authentication tag.
struct SignedMessage
{
    std::string bytes;
    core::Digest tag;

    friend bool operator==(const SignedMessage &, const SignedMessage &) = default;
};

/// What an answer needs to know of its request.
struct ReplyContext
{
    core::InstanceId sender;
    core::Digest tag;

    friend bool operator==(const ReplyContext &, const ReplyContext &) = default;
};

/// A request whose tag and receiver are right.
struct VerifiedRequest
{
    Envelope envelope;
    core::Digest tag;

    ReplyContext replyContext() const { return {envelope.sender, tag}; }

    friend bool operator==(const VerifiedRequest &, const VerifiedRequest &) = default;
};

/// Seals and opens messages with HMAC-SHA256 under the fleet secret, cut to 16 bytes on the wire.
/// The tag covers every byte of the envelope; the tag of an answer covers the tag of its request
/// too, so an answer is valid for that request only. Not for use by two threads at once.
class MessageAuthenticator
{
public:
    static constexpr std::size_t kMinimumSecretBytes = 16;

    /// Fails when the secret is shorter than kMinimumSecretBytes.
    static core::Result<std::shared_ptr<const MessageAuthenticator>>
    make(std::string_view secret, core::InstanceId self, std::uint64_t incarnation);

    MessageAuthenticator(const MessageAuthenticator &) = delete;
    MessageAuthenticator &operator=(const MessageAuthenticator &) = delete;
    ~MessageAuthenticator();

    const core::InstanceId &self() const { return self_; }
    std::uint64_t incarnation() const { return incarnation_; }

    SignedMessage signRequest(const core::InstanceId &receiver, std::uint64_t counter,
                              MessageBody body) const;
    SignedMessage signReply(const ReplyContext &request, MessageBody body) const;

    /// Checks the tag and the receiver. A MemberFetch may name no receiver, because a starting
    /// node knows only addresses.
    core::Result<VerifiedRequest> verifyRequest(std::string_view bytes) const;

    /// Checks an answer against the tag of the request it must belong to.
    core::Result<Envelope> verifyReply(std::string_view bytes,
                                       const core::Digest &requestTag) const;

private:
    class Hmac;

    MessageAuthenticator(std::unique_ptr<Hmac> hmac, core::InstanceId self,
                         std::uint64_t incarnation);

    std::unique_ptr<Hmac> hmac_;
    core::InstanceId self_;
    std::uint64_t incarnation_;
};

} // namespace boragerack::peer
