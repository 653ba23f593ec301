#include "EnvelopeCodec.h"

#include <limits>
#include <optional>
#include <utility>

#include "WireConversion.h"

namespace boragerack::peer {

namespace {

wire::Envelope makeMessage(const Envelope &envelope)
{
    wire::Envelope message;
    message.set_sender(envelope.sender.value);
    message.set_receiver(envelope.receiver.value);
    message.set_incarnation(envelope.incarnation);
    message.set_counter(envelope.counter);
    std::visit([&message](const auto &body) { toWire(body, message); }, envelope.body);
    return message;
}

} // namespace

std::string encodeEnvelope(const Envelope &envelope)
{
    return makeMessage(envelope).SerializeAsString();
}

core::Result<Envelope> decodeEnvelope(std::string_view bytes)
{
    return decodeReply(bytes, {});
}

std::string encodeReply(const Envelope &envelope)
{
    wire::Envelope message = makeMessage(envelope);
    message.clear_receiver();
    return message.SerializeAsString();
}

core::Result<Envelope> decodeReply(std::string_view bytes, const core::InstanceId &receiver)
{
    wire::Envelope message;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return core::makeNotRunError(core::ErrorCode::ProtocolViolation,
                                     "peer message is not a valid envelope");
    }
    if (message.receiver().empty())
        message.set_receiver(receiver.value);
    std::optional<MessageBody> body = bodyFromWire(message);
    if (!body) {
        return core::makeNotRunError(core::ErrorCode::ProtocolViolation,
                                     "peer message has an unknown or malformed body");
    }
    return Envelope {core::InstanceId {message.sender()}, core::InstanceId {message.receiver()},
                     message.incarnation(), message.counter(), std::move(*body)};
}

} // namespace boragerack::peer
