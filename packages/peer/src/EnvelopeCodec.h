#pragma once

#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/peer/Envelope.h"

namespace boragerack::peer {

/// Encodes the envelope as protobuf, without an authentication tag.
std::string encodeEnvelope(const Envelope &envelope);

/// Decodes the protobuf form. An unknown body or a malformed field is a ProtocolViolation.
core::Result<Envelope> decodeEnvelope(std::string_view bytes);

/// Encode and decode a reply. Its receiver is the sender of the request and is not encoded.
std::string encodeReply(const Envelope &envelope);
core::Result<Envelope> decodeReply(std::string_view bytes, const core::InstanceId &receiver);

} // namespace boragerack::peer
