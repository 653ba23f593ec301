#pragma once

#include <optional>

#include "boragerack/peer/Messages.h"
#include "peer.pb.h"

namespace boragerack::peer {

/// Each overload encodes one body type into the envelope, whose other fields are already set.
/// Identities that repeat those fields are omitted.
void toWire(const decisions::Heartbeat &body, wire::Envelope &message);
void toWire(const decisions::HeartbeatReply &body, wire::Envelope &message);
void toWire(const decisions::MemberEvent &body, wire::Envelope &message);
void toWire(const decisions::MemberFetch &body, wire::Envelope &message);
void toWire(const decisions::MemberTable &body, wire::Envelope &message);
void toWire(const decisions::ConfigFetch &body, wire::Envelope &message);
void toWire(const decisions::ConfigUpdate &body, wire::Envelope &message);
void toWire(const decisions::ProbeRequest &body, wire::Envelope &message);
void toWire(const decisions::ProbeReport &body, wire::Envelope &message);
void toWire(const decisions::BudgetRequest &body, wire::Envelope &message);
void toWire(const decisions::BudgetGrant &body, wire::Envelope &message);
void toWire(const decisions::BudgetReturn &body, wire::Envelope &message);
void toWire(const TargetUpdate &body, wire::Envelope &message);
void toWire(const ColdStartRequest &body, wire::Envelope &message);
void toWire(const ColdStartReply &body, wire::Envelope &message);
void toWire(const ReplicaInFlightReport &body, wire::Envelope &message);
void toWire(const decisions::quarantine::CrashReport &body, wire::Envelope &message);
void toWire(const decisions::quarantine::Completed &body, wire::Envelope &message);
void toWire(const decisions::quarantine::Notice &body, wire::Envelope &message);
void toWire(const decisions::CoordinationReport &body, wire::Envelope &message);
void toWire(const decisions::CoordinationAnswer &body, wire::Envelope &message);
void toWire(const core::Error &body, wire::Envelope &message);

/// Returns nullopt when the body is absent, unknown, or has a value out of range.
std::optional<MessageBody> bodyFromWire(const wire::Envelope &message);

} // namespace boragerack::peer
