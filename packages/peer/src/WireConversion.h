#pragma once

#include <optional>

#include "boragerack/peer/Messages.h"
#include "peer.pb.h"

namespace boragerack::peer {

/// Each overload writes one kind of body into the envelope.
void toWire(const Heartbeat &body, wire::Envelope &message);
void toWire(const MemberEvent &body, wire::Envelope &message);
void toWire(const ConfigUpdate &body, wire::Envelope &message);
void toWire(const ConfigFetch &body, wire::Envelope &message);
void toWire(const TargetUpdate &body, wire::Envelope &message);
void toWire(const BudgetAsk &body, wire::Envelope &message);
void toWire(const BudgetGrant &body, wire::Envelope &message);
void toWire(const BudgetReturn &body, wire::Envelope &message);
void toWire(const WakeRequest &body, wire::Envelope &message);
void toWire(const WakeReply &body, wire::Envelope &message);
void toWire(const CrashReport &body, wire::Envelope &message);
void toWire(const QuarantineNotice &body, wire::Envelope &message);
void toWire(const PlatformProbe &body, wire::Envelope &message);
void toWire(const core::Error &body, wire::Envelope &message);

/// Nothing when the body is absent, unknown, or has a value out of range.
std::optional<MessageBody> bodyFromWire(const wire::Envelope &message);

} // namespace boragerack::peer
