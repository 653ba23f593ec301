#include "WireConversion.h"

#include <algorithm>
#include <limits>
#include <string>

namespace boragerack::peer {

namespace {

// Durations beyond the range of the field (49 days) are clamped to its maximum.
std::uint32_t clampMilliseconds(std::chrono::milliseconds duration)
{
    constexpr std::int64_t kMaximum = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, kMaximum));
}

// Rounded up, so that the age of evidence is never understated.
std::uint32_t ageMilliseconds(core::Duration age)
{
    return clampMilliseconds(std::chrono::ceil<std::chrono::milliseconds>(age));
}

std::string toBytes(const core::Digest &digest)
{
    return std::string(reinterpret_cast<const char *>(digest.bytes.data()), digest.bytes.size());
}

void write(const decisions::NodeReport &report, const wire::Envelope &message,
           wire::NodeReport &out)
{
    if (report.incarnation != message.incarnation())
        out.set_incarnation(report.incarnation);
    out.set_refutation(report.refutation);
    out.set_configuration_version(report.configurationVersion);
    out.set_member_hash(report.memberHash);
    if (report.freshnessProof) {
        out.mutable_beacon()->set_kind(
            static_cast<wire::Beacon::Kind>(report.freshnessProof->kind));
        out.mutable_beacon()->set_version(report.freshnessProof->version);
        out.mutable_beacon()->set_age_ms(ageMilliseconds(report.freshnessProof->age));
    }
}

void write(const decisions::MemberRecord &record, wire::MemberRecord &out)
{
    out.set_instance(record.instance.value);
    out.set_caller_address(record.callerAddress);
    out.set_peer_address(record.peerAddress);
    out.set_data_centre(record.dataCentre.value);
    out.set_region(record.region.value);
    out.set_incarnation(record.incarnation);
    out.set_version(record.version);
    out.set_removed(record.isRemoved);
}

void write(const decisions::FleetMember &member, wire::FleetMember &out)
{
    out.set_instance(member.instance.value);
    out.set_caller_address(member.callerAddress);
    out.set_data_centre(member.dataCentre.value);
    out.set_peer_address(member.peerAddress);
    out.set_processor_share(member.processorShare);
}

void write(const decisions::LeaseObservation &observation, wire::LeaseSighting &out)
{
    out.set_holder(observation.record.holder.value);
    out.set_peer_address(observation.record.peerAddress);
    out.set_incarnation(observation.record.incarnation);
    out.set_renewal(observation.record.renewal);
    out.set_released(observation.record.isReleased);
    out.set_orders_after_ms(clampMilliseconds(observation.record.ordersAfter));
    out.set_validity_ms(clampMilliseconds(observation.record.validity));
    out.set_nodes(observation.record.nodes);
    out.set_era(observation.record.era);
    out.set_version(observation.version);
}

void write(const decisions::TargetRate &rate, wire::TargetRate &out)
{
    out.set_target(rate.target.value);
    out.set_started_at(rate.startedAt);
    out.set_requests_per_second(rate.requestsPerSecond);
}

void write(const decisions::RateObservation &observation, wire::RateObservation &out)
{
    out.set_target(observation.process.target.value);
    out.set_started_at(observation.process.startedAt);
    out.set_limited(observation.requestsPerSecond.has_value());
    out.set_requests_per_second(observation.requestsPerSecond.value_or(0));
    out.set_age_ms(ageMilliseconds(observation.age));
}

void write(const decisions::PermitRequest &request, wire::PermitRequest &out)
{
    out.set_target(request.target.value);
    out.set_waiting(request.waiting);
    out.set_reserve(request.reserve);
}

void write(const decisions::PermitGrant &grant, wire::PermitGrant &out)
{
    out.set_target(grant.target.value);
    out.set_permits(grant.permits);
}

void write(const decisions::TokenRequest &request, wire::TokenAsk &out)
{
    out.set_organisation(request.organisation.value);
    out.set_waiting(static_cast<std::uint64_t>(request.waiting));
    out.set_reserve(static_cast<std::uint64_t>(request.reserve));
}

void write(const decisions::TokenAmount &amount, wire::TokenAmount &out)
{
    out.set_organisation(amount.organisation.value);
    out.set_tokens(amount.tokens);
}

void write(const decisions::PortionId &id, const std::string &owner, std::uint64_t ownerIncarnation,
           wire::PortionId &out)
{
    if (id.borrower.value != owner)
        out.set_borrower(id.borrower.value);
    if (id.incarnation != ownerIncarnation)
        out.set_incarnation(id.incarnation);
    out.set_sequence(id.sequence);
}

void write(const decisions::ShareKey &share, wire::ShareKey &out)
{
    out.set_shard(share.shard);
    out.set_index(share.index);
}

void write(const decisions::PortionReturn &entry, const wire::Envelope &message,
           wire::PortionReturn &out)
{
    write(entry.portion, message.sender(), message.incarnation(), *out.mutable_portion());
    out.set_holder_incarnation(entry.holderIncarnation);
    out.set_returned_total(static_cast<std::uint64_t>(entry.returnedTotal));
}

void write(const decisions::Artifact &artifact, wire::Artifact &out)
{
    out.set_model(artifact.model.value);
    out.set_version(artifact.version);
    out.set_adapter(artifact.adapter.value);
}

void write(const core::Error &error, wire::Refusal &out)
{
    out.set_code(static_cast<std::uint32_t>(error.code));
    out.set_verdict(static_cast<std::uint32_t>(error.verdict));
    out.set_message(error.message);
    out.set_retry_after_ms(clampMilliseconds(error.retryAfter));
}

void write(const decisions::TargetPlacement &placement, wire::TargetPlacement &out)
{
    out.set_target(placement.target.value);
    out.set_started_at(placement.startedAt);
    for (const decisions::Artifact &artifact : placement.artifacts)
        write(artifact, *out.add_artifacts());
    for (const core::ModelId &model : placement.longPromptModels)
        out.add_long_prompt_models(model.value);
}

void write(const decisions::TargetEntry &entry, wire::ListedTarget &out)
{
    out.set_target(entry.target.value);
    out.set_service(entry.service.value);
    out.set_address(entry.address);
    out.set_data_centre(entry.dataCentre.value);
    out.set_slots(entry.slots);
    out.set_leaving(entry.isLeaving);
    out.set_started_at(entry.startedAt);
    out.set_evacuated(entry.isEvacuated);
    out.set_cold(entry.isCold);
}

template<typename Change, typename WireChange>
void write(const Change &change, WireChange &out)
{
    out.set_version(change.version);
    out.set_complete(change.isComplete);
    out.set_since(change.since);
    for (const auto &value : change.changed)
        write(value, *out.add_changed());
    for (const auto &key : change.removed)
        out.add_removed(key.value);
}

void write(const decisions::quarantine::CrashReport &from, wire::CrashReport &out)
{
    out.set_fingerprint(toBytes(from.fingerprint));
    out.set_request(from.attempt.request);
    out.set_attempt(from.attempt.number);
    out.set_origin(toBytes(from.origin));
    out.set_min_origins(from.minOrigins);
    out.set_target(from.target);
    out.set_sent_age_ms(clampMilliseconds(from.sentAge));
    out.set_crash_age_ms(clampMilliseconds(from.crashAge));
    out.set_part(toBytes(from.part));
    out.set_position(from.position);
    out.set_was_answered(from.wasAnswered);
}

void write(const decisions::quarantine::Notice &from, wire::QuarantineNotice &out)
{
    out.set_fingerprint(toBytes(from.fingerprint));
    out.set_remaining_ms(clampMilliseconds(from.remaining));
}

} // namespace

void toWire(const decisions::Heartbeat &body, wire::Envelope &message)
{
    message.mutable_heartbeat()->set_sequence(body.sequence);
    write(body.report, message, *message.mutable_heartbeat()->mutable_report());
}

void toWire(const decisions::HeartbeatReply &body, wire::Envelope &message)
{
    message.mutable_heartbeat_reply()->set_sequence(body.sequence);
    write(body.report, message, *message.mutable_heartbeat_reply()->mutable_report());
}

void toWire(const decisions::MemberEvent &body, wire::Envelope &message)
{
    wire::MemberEvent &out = *message.mutable_member_event();
    out.set_kind(static_cast<wire::MemberEvent::Kind>(body.kind));
    write(body.record, *out.mutable_record());
    out.set_refutation(body.refutation);
}

void toWire(const decisions::MemberFetch &body, wire::Envelope &message)
{
    message.mutable_member_fetch()->mutable_bucket_hashes()->Add(body.bucketHashes.begin(),
                                                                 body.bucketHashes.end());
}

void toWire(const decisions::MemberTable &body, wire::Envelope &message)
{
    wire::MemberTable &out = *message.mutable_member_table();
    for (const decisions::MemberRecord &record : body.records)
        write(record, *out.add_records());
}

void toWire(const decisions::ConfigFetch &body, wire::Envelope &message)
{
    message.mutable_config_fetch()->set_have_version(body.haveVersion);
}

void toWire(const decisions::ConfigUpdate &body, wire::Envelope &message)
{
    const decisions::ConfigurationDelta &update = body.update;
    wire::ConfigUpdate &out = *message.mutable_config_update();
    out.set_base_version(update.baseVersion);
    wire::ConfigHead &head = *out.mutable_head();
    head.set_version(update.head.version);
    head.set_list_revision(update.head.listRevision);
    head.set_writer(update.head.writer.value);
    head.set_writer_incarnation(update.head.writerIncarnation);
    head.set_sequence(update.head.sequence);
    for (const decisions::PartDigest &part : update.head.parts) {
        wire::ConfigPart &record = *head.add_parts();
        record.set_name(part.name);
        record.set_digest(toBytes(part.digest));
    }
    for (const decisions::PartText &part : update.changed) {
        wire::PartText &record = *out.add_changed();
        record.set_name(part.name);
        record.set_text(part.text);
    }
    for (const std::string &name : update.removed)
        out.add_removed(name);
    out.set_head_digest(toBytes(update.headDigest));
}

void toWire(const decisions::ProbeRequest &body, wire::Envelope &message)
{
    message.mutable_platform_probe()->set_sequence(body.sequence);
}

void toWire(const decisions::ProbeReport &body, wire::Envelope &message)
{
    wire::ProbeReport &out = *message.mutable_probe_report();
    out.set_sequence(body.sequence);
    for (const decisions::OutageVote &vote : body.votes) {
        wire::OutageVote &record = *out.add_votes();
        record.set_member(vote.member.value);
        record.set_age_ms(ageMilliseconds(vote.age));
        record.set_version(vote.version);
    }
}

void toWire(const decisions::BudgetRequest &body, wire::Envelope &message)
{
    wire::BudgetAsk &out = *message.mutable_budget_ask();
    write(body.id, message.sender(), message.incarnation(), *out.mutable_id());
    write(body.share, *out.mutable_share());
    out.set_organisation(body.organisation.value);
    out.set_wanted_tokens(static_cast<std::uint64_t>(body.wantedTokens));
    for (const decisions::PortionReturn &entry : body.returns)
        write(entry, message, *out.add_returns());
}

void toWire(const decisions::BudgetGrant &body, wire::Envelope &message)
{
    wire::BudgetGrant &out = *message.mutable_budget_grant();
    write(body.id, message.receiver(), 0, *out.mutable_id());
    write(body.share, *out.mutable_share());
    out.set_organisation(body.organisation.value);
    if (body.holderIncarnation != message.incarnation())
        out.set_holder_incarnation(body.holderIncarnation);
    out.set_is_holder(body.isHolder);
    out.set_tokens(static_cast<std::uint64_t>(body.tokens));
    out.set_retry_after_ms(clampMilliseconds(body.retryAfter));
}

void toWire(const decisions::BudgetReturn &body, wire::Envelope &message)
{
    wire::BudgetReturn &out = *message.mutable_budget_return();
    write(body.share, *out.mutable_share());
    out.set_organisation(body.organisation.value);
    for (const decisions::PortionReturn &entry : body.returns)
        write(entry, message, *out.add_returns());
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
            write(replica.artifact, *entry.mutable_artifact());
            entry.set_state(static_cast<wire::ReplicaRecord::State>(replica.state));
        }
    }
}

void toWire(const ColdStartRequest &body, wire::Envelope &message)
{
    wire::WakeRequest &out = *message.mutable_wake_request();
    out.set_request(body.request);
    write(body.artifact, *out.mutable_artifact());
    out.set_deadline_ms(clampMilliseconds(body.deadline));
}

void toWire(const ColdStartReply &body, wire::Envelope &message)
{
    wire::WakeReply &out = *message.mutable_wake_reply();
    out.set_request(body.request);
    write(body.artifact, *out.mutable_artifact());
    if (core::isOk(body.outcome))
        out.set_target(core::valueOf(body.outcome).value);
    else
        write(core::errorOf(body.outcome), *out.mutable_refusal());
}

void toWire(const ReplicaInFlightReport &body, wire::Envelope &message)
{
    wire::ReplicaUses &out = *message.mutable_replica_uses();
    for (const ReplicaInFlight &use : body.uses) {
        wire::ReplicaUse &record = *out.add_uses();
        write(use.artifact, *record.mutable_artifact());
        record.set_target(use.target.value);
        record.set_in_flight(use.inFlight);
    }
}

void toWire(const decisions::quarantine::CrashReport &body, wire::Envelope &message)
{
    write(body, *message.mutable_crash_report());
}

void toWire(const decisions::quarantine::Completed &body, wire::Envelope &message)
{
    message.mutable_completed_answer()->set_fingerprint(toBytes(body.fingerprint));
}

void toWire(const decisions::quarantine::Notice &body, wire::Envelope &message)
{
    write(body, *message.mutable_quarantine_notice());
}

void toWire(const decisions::CoordinationReport &body, wire::Envelope &message)
{
    wire::CoordinationReport &out = *message.mutable_coordination_report();
    write(body.member, *out.mutable_member());
    out.set_stopping(body.isStopping);
    out.set_term(body.known.term);
    out.set_members_version(body.known.members);
    out.set_placement_version(body.known.placements);
    out.set_targets_version(body.known.targets);
    out.set_rates_version(body.known.rates);
    out.set_configuration_version(body.configurationVersion);
    out.set_platform_lost(body.isPlatformLost);
    for (const decisions::ArtifactDemand &demand : body.demands) {
        wire::ArtifactDemand &record = *out.add_demands();
        write(demand.artifact, *record.mutable_artifact());
        record.set_service(demand.service.value);
        record.set_waiting(demand.waiting);
        record.set_arrived(demand.arrived);
        record.set_oldest_wait_ms(clampMilliseconds(demand.oldestWait));
        record.set_aim_ms(clampMilliseconds(demand.targetLatency));
        record.set_long_prompt_tokens(demand.longPromptTokens);
        record.set_waiting_for_room(demand.waitingForRoom);
    }
    out.set_has_uses(body.uses.has_value());
    for (const decisions::ArtifactInFlight &use :
         body.uses.value_or(std::vector<decisions::ArtifactInFlight>())) {
        wire::ReplicaUse &record = *out.add_uses();
        write(use.artifact, *record.mutable_artifact());
        record.set_target(use.target.value);
        record.set_in_flight(use.inFlight);
    }
    for (const decisions::TokenRequest &request : body.wanted)
        write(request, *out.add_wanted());
    for (const decisions::PermitRequest &request : body.permits)
        write(request, *out.add_permits());
    for (const decisions::RateObservation &observation : body.rates)
        write(observation, *out.add_rates());
    for (const decisions::quarantine::CrashReport &crash : body.crashes)
        write(crash, *out.add_crashes());
    for (const decisions::quarantine::Completed &completed : body.completed)
        out.add_completed()->set_fingerprint(toBytes(completed.fingerprint));
    for (const decisions::quarantine::Notice &notice : body.refusals)
        write(notice, *out.add_refusals());
    for (const decisions::ChildReport &child : body.children) {
        wire::ChildReport &record = *out.add_children();
        write(child.member, *record.mutable_member());
        record.set_stopping(child.isStopping);
        for (const decisions::TokenRequest &request : child.wanted)
            write(request, *record.add_wanted());
        for (const decisions::PermitRequest &request : child.permits)
            write(request, *record.add_permits());
    }
    out.set_unresponsive_relay(body.unresponsiveRelay.value);
}

void toWire(const decisions::CoordinationAnswer &body, wire::Envelope &message)
{
    wire::CoordinationAnswer &out = *message.mutable_coordination_answer();
    out.set_standing(static_cast<wire::CoordinationAnswer::Standing>(body.standing));
    if (body.change) {
        wire::FleetChange &change = *out.mutable_change();
        change.set_term(body.change->term);
        write(body.change->members, *change.mutable_members());
        write(body.change->targets, *change.mutable_targets());
        write(body.change->placements, *change.mutable_placements());
        write(body.change->rates, *change.mutable_rates());
    }
    if (body.relay)
        write(*body.relay, *out.mutable_relay());
    out.mutable_proof()->set_configuration_version(body.platformReadStatus.configurationVersion);
    out.mutable_proof()->set_configuration_age_ms(
        ageMilliseconds(body.platformReadStatus.configurationAge));
    out.mutable_proof()->set_targets_age_ms(ageMilliseconds(body.platformReadStatus.targetsAge));
    out.mutable_lease()->set_incarnation(body.lease.incarnation);
    out.mutable_lease()->set_renewal(body.lease.renewal);
    out.mutable_lease()->set_age_ms(clampMilliseconds(body.lease.age));
    if (body.loads) {
        wire::TargetLoads &loads = *out.mutable_loads();
        loads.set_targets_version(body.loads->targetsVersion);
        loads.mutable_in_flight()->Add(body.loads->inFlight.begin(), body.loads->inFlight.end());
    }
    for (const decisions::TokenAmount &amount : body.granted)
        write(amount, *out.add_granted());
    for (const decisions::PermitGrant &grant : body.permits)
        write(grant, *out.add_permits());
    for (const decisions::ChildGrant &grant : body.childGrants) {
        wire::ChildGrant &record = *out.add_child_grants();
        record.set_instance(grant.instance.value);
        for (const decisions::TokenAmount &amount : grant.granted)
            write(amount, *record.add_granted());
        for (const decisions::PermitGrant &permits : grant.permits)
            write(permits, *record.add_permits());
    }
    for (const decisions::quarantine::Notice &notice : body.quarantined)
        write(notice, *out.add_refusals());
    out.set_configuration(body.configuration);
    if (body.holder)
        write(*body.holder, *out.mutable_holder());
    out.set_report_after_ms(clampMilliseconds(body.reportAfter));
}

void toWire(const core::Error &body, wire::Envelope &message)
{
    write(body, *message.mutable_refusal());
}

} // namespace boragerack::peer
