#pragma once

#include <string>
#include <string_view>

#include "boragerack/core/Result.h"
#include "boragerack/peer/Envelope.h"

namespace boragerack::peer {

/// The envelope in protobuf form, without an authentication tag.
std::string encodeEnvelope(const Envelope &envelope);

/// Reads the protobuf form; an unknown body or a malformed field is a protocol violation.
core::Result<Envelope> decodeEnvelope(std::string_view bytes);

/// As above for an answer, which is bound to its request: the receiver is the sender of the request
/// and is left out.
std::string encodeReply(const Envelope &envelope);
core::Result<Envelope> decodeReply(std::string_view bytes, const core::InstanceId &receiver);

} // namespace boragerack::peer
