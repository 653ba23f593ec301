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

/// Fields of a request that are needed to sign its reply.
struct ReplyContext
{
    core::InstanceId sender;
    core::Digest tag;

    friend bool operator==(const ReplyContext &, const ReplyContext &) = default;
};

/// A request whose tag and receiver have been verified.
struct VerifiedRequest
{
    Envelope envelope;
    core::Digest tag;

    ReplyContext replyContext() const { return {envelope.sender, tag}; }

    friend bool operator==(const VerifiedRequest &, const VerifiedRequest &) = default;
};

/// Signs and verifies messages with HMAC-SHA256 keyed by the fleet secret, truncated to 16 bytes on
/// the wire. The tag covers every byte of the envelope; the tag of a reply also covers the tag of
/// its request, so a reply is valid for that request only. Not thread-safe.
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

    /// Verifies the tag and the receiver. A MemberFetch may omit the receiver, because a starting
    /// node knows only addresses.
    core::Result<VerifiedRequest> verifyRequest(std::string_view bytes) const;

    /// Verifies a reply to the request with the given tag.
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
