#include "WireConversion.h"

#include <algorithm>
#include <limits>
#include <string>

namespace boragerack::peer {

namespace {

// A longer duration than the field holds is as good as its maximum of 49 days.
std::uint32_t toMilliseconds(std::chrono::milliseconds duration)
{
    constexpr std::int64_t kMaximum = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, kMaximum));
}

std::string toBytes(const core::Digest &digest)
{
    return std::string(reinterpret_cast<const char *>(digest.bytes.data()), digest.bytes.size());
}

} // namespace

void toWire(const Heartbeat &body, wire::Envelope &message)
{
    wire::Heartbeat &out = *message.mutable_heartbeat();
    out.set_configuration_version(body.configurationVersion);
    out.set_members_version(body.membersVersion);
    out.set_targets_version(body.targetsVersion);
    out.set_shares_version(body.sharesVersion);
    for (const Beacon &beacon : body.beacons) {
        wire::Beacon &record = *out.add_beacons();
        record.set_relay(beacon.relay.value);
        record.set_sequence(beacon.sequence);
        record.set_age_ms(toMilliseconds(beacon.age));
        record.set_platform_down(beacon.isPlatformDown);
    }
}

void toWire(const MemberEvent &body, wire::Envelope &message)
{
    wire::MemberEvent &out = *message.mutable_member_event();
    out.set_kind(static_cast<wire::MemberEvent::Kind>(body.kind));
    out.set_instance(body.instance.value);
    out.set_incarnation(body.incarnation);
    out.set_address(body.address);
    out.set_data_centre(body.dataCentre.value);
    out.set_region(body.region.value);
    out.set_version(body.version);
}

void toWire(const ConfigUpdate &body, wire::Envelope &message)
{
    wire::ConfigUpdate &out = *message.mutable_config_update();
    out.set_version(body.version);
    for (const ConfigPart &part : body.parts) {
        wire::ConfigPart &record = *out.add_parts();
        record.set_name(part.name);
        record.set_digest(toBytes(part.digest));
    }
    for (const std::string &content : body.contents)
        out.add_contents(content);
}

void toWire(const ConfigFetch &body, wire::Envelope &message)
{
    wire::ConfigFetch &out = *message.mutable_config_fetch();
    out.set_known_version(body.knownVersion);
    for (const core::Digest &digest : body.wanted)
        out.add_wanted(toBytes(digest));
}

void toWire(const TargetUpdate &body, wire::Envelope &message)
{
    wire::TargetUpdate &out = *message.mutable_target_update();
    out.set_version(body.version);
    for (const TargetRecord &target : body.targets) {
        wire::TargetRecord &record = *out.add_targets();
        record.set_target(target.target.value);
        record.set_address(target.address);
        record.set_data_centre(target.dataCentre.value);
        record.set_region(target.region.value);
        record.set_service(target.service.value);
        record.set_leaving(target.isLeaving);
        record.set_removed(target.isRemoved);
        for (const ReplicaRecord &replica : target.replicas) {
            wire::ReplicaRecord &entry = *record.add_replicas();
            entry.set_model(replica.model.value);
            entry.set_adapter(replica.adapter.value);
            entry.set_version(replica.version);
            entry.set_state(static_cast<wire::ReplicaRecord::State>(replica.state));
        }
    }
}

void toWire(const BudgetAsk &body, wire::Envelope &message)
{
    wire::BudgetAsk &out = *message.mutable_budget_ask();
    out.set_organisation(body.organisation.value);
    out.set_share(body.share);
    out.set_sequence(body.sequence);
    out.set_tokens(body.tokens);
}

void toWire(const BudgetGrant &body, wire::Envelope &message)
{
    wire::BudgetGrant &out = *message.mutable_budget_grant();
    out.set_organisation(body.organisation.value);
    out.set_share(body.share);
    out.set_sequence(body.sequence);
    out.set_tokens(body.tokens);
    out.set_lifetime_ms(toMilliseconds(body.lifetime));
}

void toWire(const BudgetReturn &body, wire::Envelope &message)
{
    wire::BudgetReturn &out = *message.mutable_budget_return();
    out.set_organisation(body.organisation.value);
    out.set_share(body.share);
    out.set_sequence(body.sequence);
    out.set_tokens(body.tokens);
    out.set_holder_incarnation(body.holderIncarnation);
}

void toWire(const WakeRequest &body, wire::Envelope &message)
{
    wire::WakeRequest &out = *message.mutable_wake_request();
    out.set_model(body.model.value);
    out.set_adapter(body.adapter.value);
    out.set_version(body.version);
    out.set_waiting_requests(body.waitingRequests);
    out.set_deadline_ms(toMilliseconds(body.deadline));
}

void toWire(const WakeReply &body, wire::Envelope &message)
{
    wire::WakeReply &out = *message.mutable_wake_reply();
    out.set_outcome(static_cast<wire::WakeReply::Outcome>(body.outcome));
    out.set_target(body.target.value);
    out.set_expected_ms(toMilliseconds(body.expected));
    out.set_reason(body.reason);
}

void toWire(const CrashReport &body, wire::Envelope &message)
{
    wire::CrashReport &out = *message.mutable_crash_report();
    out.set_fingerprint(toBytes(body.fingerprint));
    out.set_target(body.target.value);
    out.set_attempt(body.attempt);
}

void toWire(const QuarantineNotice &body, wire::Envelope &message)
{
    wire::QuarantineNotice &out = *message.mutable_quarantine_notice();
    out.set_fingerprint(toBytes(body.fingerprint));
    out.set_deaths(body.deaths);
    out.set_remaining_ms(toMilliseconds(body.remaining));
}

void toWire(const PlatformProbe &body, wire::Envelope &message)
{
    wire::PlatformProbe &out = *message.mutable_platform_probe();
    out.set_reachable(body.isReachable);
    out.set_last_success_age_ms(toMilliseconds(body.lastSuccessAge));
}

void toWire(const core::Error &body, wire::Envelope &message)
{
    wire::Refusal &out = *message.mutable_refusal();
    out.set_code(static_cast<std::uint32_t>(body.code));
    out.set_verdict(static_cast<std::uint32_t>(body.verdict));
    out.set_message(body.message);
    out.set_retry_after_ms(toMilliseconds(body.retryAfter));
}

} // namespace boragerack::peer
