#include "WireConversion.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace boragerack::peer {

namespace {

using std::chrono::milliseconds;

bool read(const std::string &bytes, core::Digest &digest)
{
    if (bytes.size() != digest.bytes.size())
        return false;
    std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
    return true;
}

/// Returns false when the value exceeds the range of a token count.
bool read(std::uint64_t value, std::int64_t &tokens)
{
    tokens = static_cast<std::int64_t>(value);
    return value <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
}

bool read(const wire::NodeReport &in, const wire::Envelope &message, decisions::NodeReport &report)
{
    report.incarnation = in.incarnation() != 0 ? in.incarnation() : message.incarnation();
    report.refutation = in.refutation();
    report.configurationVersion = in.configuration_version();
    report.memberHash = in.member_hash();
    if (!in.has_beacon())
        return true;
    report.freshnessProof =
        decisions::FreshnessProof {static_cast<decisions::FreshnessProofKind>(in.beacon().kind()),
                                   in.beacon().version(), milliseconds(in.beacon().age_ms())};
    return wire::Beacon::Kind_IsValid(in.beacon().kind());
}

decisions::MemberRecord read(const wire::MemberRecord &in)
{
    return {core::InstanceId {in.instance()},
            in.caller_address(),
            in.peer_address(),
            core::DataCentreId {in.data_centre()},
            core::RegionId {in.region()},
            in.incarnation(),
            in.version(),
            in.removed()};
}

decisions::PortionId read(const wire::PortionId &in, const std::string &owner,
                          std::uint64_t ownerIncarnation)
{
    return {core::InstanceId {in.borrower().empty() ? owner : in.borrower()},
            in.incarnation() != 0 ? in.incarnation() : ownerIncarnation, in.sequence()};
}

decisions::ShareKey read(const wire::ShareKey &in)
{
    return {in.shard(), in.index()};
}

template<class Entries>
bool read(const Entries &in, const wire::Envelope &message,
          std::vector<decisions::PortionReturn> &returns)
{
    return std::all_of(in.begin(), in.end(), [&](const wire::PortionReturn &record) {
        decisions::PortionReturn &entry = returns.emplace_back();
        entry.portion = read(record.portion(), message.sender(), message.incarnation());
        entry.holderIncarnation = record.holder_incarnation();
        return read(record.returned_total(), entry.returnedTotal);
    });
}

decisions::Artifact read(const wire::Artifact &in)
{
    return {core::ModelId {in.model()}, in.version(), core::AdapterId {in.adapter()}};
}

bool read(const wire::Refusal &in, core::Error &error)
{
    error = {static_cast<core::ErrorCode>(in.code()), static_cast<core::Verdict>(in.verdict()),
             in.message(), milliseconds(in.retry_after_ms())};
    return in.code() <= static_cast<std::uint32_t>(core::ErrorCode::Internal)
        && in.verdict() <= static_cast<std::uint32_t>(core::Verdict::Ran);
}

/// Returns the body, or nullopt when a field was out of range.
template<class Body>
std::optional<MessageBody> checked(bool isValid, Body &body)
{
    if (!isValid)
        return std::nullopt;
    return std::move(body);
}

std::optional<MessageBody> fromWire(const wire::Heartbeat &in, const wire::Envelope &message)
{
    decisions::Heartbeat body {in.sequence(), {}};
    return checked(read(in.report(), message, body.report), body);
}

std::optional<MessageBody> fromWire(const wire::HeartbeatReply &in, const wire::Envelope &message)
{
    decisions::HeartbeatReply body {in.sequence(), {}};
    return checked(read(in.report(), message, body.report), body);
}

std::optional<MessageBody> fromWire(const wire::MemberEvent &in)
{
    decisions::MemberEvent body {static_cast<decisions::MemberEventKind>(in.kind()),
                                 read(in.record()), in.refutation()};
    return checked(wire::MemberEvent::Kind_IsValid(in.kind()), body);
}

std::optional<MessageBody> fromWire(const wire::MemberFetch &in)
{
    return decisions::MemberFetch {{in.bucket_hashes().begin(), in.bucket_hashes().end()}};
}

std::optional<MessageBody> fromWire(const wire::MemberTable &in)
{
    decisions::MemberTable body;
    for (const wire::MemberRecord &record : in.records())
        body.records.push_back(read(record));
    return body;
}

std::optional<MessageBody> fromWire(const wire::ConfigUpdate &in)
{
    decisions::ConfigUpdate body;
    decisions::ConfigurationDelta &update = body.update;
    const wire::ConfigHead &head = in.head();
    update.baseVersion = in.base_version();
    update.head = {head.version(),
                   head.list_revision(),
                   core::InstanceId {head.writer()},
                   head.writer_incarnation(),
                   head.sequence(),
                   {}};
    bool isValid = read(in.head_digest(), update.headDigest);
    for (const wire::ConfigPart &record : head.parts()) {
        update.head.parts.push_back({record.name(), {}});
        isValid = isValid && read(record.digest(), update.head.parts.back().digest);
    }
    for (const wire::PartText &record : in.changed())
        update.changed.push_back({record.name(), record.text()});
    update.removed.assign(in.removed().begin(), in.removed().end());
    return checked(isValid, body);
}

std::optional<MessageBody> fromWire(const wire::ProbeReport &in)
{
    decisions::ProbeReport body {in.sequence(), {}};
    for (const wire::OutageVote &record : in.votes()) {
        body.votes.push_back(
            {core::InstanceId {record.member()}, milliseconds(record.age_ms()), record.version()});
    }
    return body;
}

std::optional<MessageBody> fromWire(const wire::BudgetAsk &in, const wire::Envelope &message)
{
    decisions::BudgetRequest body;
    body.id = read(in.id(), message.sender(), message.incarnation());
    body.share = read(in.share());
    body.organisation.value = in.organisation();
    const bool isValid =
        read(in.wanted_tokens(), body.wantedTokens) && read(in.returns(), message, body.returns);
    return checked(isValid, body);
}

std::optional<MessageBody> fromWire(const wire::BudgetGrant &in, const wire::Envelope &message)
{
    decisions::BudgetGrant body;
    body.id = read(in.id(), message.receiver(), 0);
    body.share = read(in.share());
    body.organisation.value = in.organisation();
    body.holderIncarnation =
        in.holder_incarnation() != 0 ? in.holder_incarnation() : message.incarnation();
    body.isHolder = in.is_holder();
    body.retryAfter = milliseconds(in.retry_after_ms());
    return checked(read(in.tokens(), body.tokens), body);
}

std::optional<MessageBody> fromWire(const wire::BudgetReturn &in, const wire::Envelope &message)
{
    decisions::BudgetReturn body {read(in.share()), core::OrganisationId {in.organisation()}, {}};
    return checked(read(in.returns(), message, body.returns), body);
}

std::optional<MessageBody> fromWire(const wire::TargetUpdate &in)
{
    TargetUpdate body {in.version(), {}};
    for (const wire::TargetRecord &record : in.targets()) {
        TargetRecord target {core::TargetId {record.target()},
                             record.address(),
                             core::DataCentreId {record.data_centre()},
                             core::RegionId {record.region()},
                             core::ServiceId {record.service()},
                             record.leaving(),
                             record.removed(),
                             {}};
        for (const wire::ReplicaRecord &entry : record.replicas()) {
            if (!wire::ReplicaRecord::State_IsValid(entry.state()))
                return std::nullopt;
            target.replicas.push_back(
                {read(entry.artifact()), static_cast<ReportedReplicaState>(entry.state())});
        }
        body.targets.push_back(std::move(target));
    }
    return body;
}

std::optional<MessageBody> fromWire(const wire::WakeReply &in)
{
    ColdStartReply body {in.request(), read(in.artifact()), {}};
    if (in.outcome_case() == wire::WakeReply::kTarget) {
        body.outcome = core::TargetId {in.target()};
        return body;
    }
    core::Error error;
    // A missing outcome must not be read as a refusal with Verdict::NotRun.
    const bool isValid =
        in.outcome_case() == wire::WakeReply::kRefusal && read(in.refusal(), error);
    body.outcome = std::move(error);
    return checked(isValid, body);
}

std::optional<MessageBody> fromWire(const wire::ReplicaUses &in)
{
    ReplicaInFlightReport body;
    for (const wire::ReplicaUse &record : in.uses()) {
        body.uses.push_back(
            {read(record.artifact()), core::TargetId {record.target()}, record.in_flight()});
    }
    return body;
}

bool read(const wire::CrashReport &in, decisions::quarantine::CrashReport &body)
{
    body.attempt = {in.request(), in.attempt()};
    // A node of an earlier version reports whole requests only, without an origin.
    body.minOrigins = std::max(1U, in.min_origins());
    body.target = in.target();
    body.sentAge = milliseconds(in.sent_age_ms());
    body.crashAge = milliseconds(in.crash_age_ms());
    body.position = in.position();
    body.wasAnswered = in.was_answered();
    return read(in.fingerprint(), body.fingerprint)
        && (in.origin().empty() || read(in.origin(), body.origin))
        && (in.part().empty() || read(in.part(), body.part));
}

bool read(const wire::CompletedAnswer &in, decisions::quarantine::Completed &body)
{
    return read(in.fingerprint(), body.fingerprint);
}

bool read(const wire::QuarantineNotice &in, decisions::quarantine::Notice &body)
{
    body.remaining = milliseconds(in.remaining_ms());
    return read(in.fingerprint(), body.fingerprint);
}

/// Reads one record and appends it. False if the record is not valid.
template<class Record, class Body>
bool readInto(const Record &record, std::vector<Body> &bodies)
{
    return read(record, bodies.emplace_back());
}

template<class Body, class Record>
std::optional<MessageBody> readBody(const Record &record)
{
    Body body;
    return checked(read(record, body), body);
}

decisions::FleetMember read(const wire::FleetMember &in)
{
    return {{in.instance()},
            in.caller_address(),
            {in.data_centre()},
            in.peer_address(),
            in.processor_share()};
}

decisions::LeaseObservation read(const wire::LeaseSighting &in)
{
    return {{{in.holder()},
             in.peer_address(),
             in.incarnation(),
             in.renewal(),
             in.released(),
             milliseconds(in.orders_after_ms()),
             milliseconds(in.validity_ms()),
             in.nodes(),
             in.era()},
            in.version()};
}

decisions::TokenRequest read(const wire::TokenAsk &in)
{
    return {{in.organisation()},
            static_cast<std::int64_t>(in.waiting()),
            static_cast<std::int64_t>(in.reserve())};
}

decisions::TargetPlacement read(const wire::TargetPlacement &in)
{
    decisions::TargetPlacement placement {{in.target()}, in.started_at(), {}, {}};
    for (const wire::Artifact &artifact : in.artifacts())
        placement.artifacts.push_back(read(artifact));
    for (const std::string &model : in.long_prompt_models())
        placement.longPromptModels.push_back({model});
    return placement;
}

decisions::TargetEntry read(const wire::ListedTarget &in)
{
    decisions::TargetEntry entry;
    entry.target.value = in.target();
    entry.service.value = in.service();
    entry.address = in.address();
    entry.dataCentre.value = in.data_centre();
    entry.slots = in.slots();
    entry.isLeaving = in.leaving();
    entry.startedAt = in.started_at();
    entry.isEvacuated = in.evacuated();
    entry.isCold = in.cold();
    return entry;
}

decisions::TargetRate read(const wire::TargetRate &in)
{
    return {{in.target()}, in.started_at(), in.requests_per_second()};
}

decisions::RateObservation read(const wire::RateObservation &in)
{
    return {{{in.target()}, in.started_at()},
            in.limited() ? std::optional(in.requests_per_second()) : std::nullopt,
            milliseconds(in.age_ms())};
}

decisions::PermitRequest read(const wire::PermitRequest &in)
{
    return {{in.target()}, in.waiting(), in.reserve()};
}

decisions::PermitGrant read(const wire::PermitGrant &in)
{
    return {{in.target()}, in.permits()};
}

template<typename Value, typename WireValues>
void read(const WireValues &in, std::vector<Value> &values)
{
    for (const auto &record : in)
        values.push_back(read(record));
}

std::vector<decisions::TokenAmount>
read(const google::protobuf::RepeatedPtrField<wire::TokenAmount> &in)
{
    std::vector<decisions::TokenAmount> amounts;
    for (const wire::TokenAmount &record : in)
        amounts.push_back({{record.organisation()}, record.tokens()});
    return amounts;
}

template<typename Key, typename Value, typename WireChange>
void read(const WireChange &in, decisions::ListChange<Key, Value> &change)
{
    change.version = in.version();
    change.isComplete = in.complete();
    change.since = in.since();
    for (const auto &record : in.changed())
        change.changed.push_back(read(record));
    for (const std::string &key : in.removed())
        change.removed.push_back({key});
}

std::optional<MessageBody> fromWire(const wire::CoordinationReport &in)
{
    decisions::CoordinationReport body;
    body.member = read(in.member());
    body.isStopping = in.stopping();
    body.known = {in.term(), in.members_version(), in.targets_version(), in.placement_version(),
                  in.rates_version()};
    body.configurationVersion = in.configuration_version();
    body.isPlatformLost = in.platform_lost();
    for (const wire::ArtifactDemand &record : in.demands()) {
        body.demands.push_back({read(record.artifact()),
                                {record.service()},
                                record.waiting(),
                                record.arrived(),
                                milliseconds(record.oldest_wait_ms()),
                                milliseconds(record.aim_ms()),
                                record.long_prompt_tokens(),
                                record.waiting_for_room()});
    }
    if (in.has_uses())
        body.uses.emplace();
    for (const wire::ReplicaUse &record : in.uses()) {
        if (body.uses)
            body.uses->push_back({{record.target()}, read(record.artifact()), record.in_flight()});
    }
    for (const wire::TokenAsk &record : in.wanted())
        body.wanted.push_back(read(record));
    read(in.permits(), body.permits);
    read(in.rates(), body.rates);
    bool isValid = true;
    for (const wire::CrashReport &record : in.crashes())
        isValid = readInto(record, body.crashes) && isValid;
    for (const wire::CompletedAnswer &record : in.completed())
        isValid = readInto(record, body.completed) && isValid;
    for (const wire::QuarantineNotice &record : in.refusals())
        isValid = readInto(record, body.refusals) && isValid;
    for (const wire::ChildReport &record : in.children()) {
        decisions::ChildReport child {read(record.member()), record.stopping(), {}};
        for (const wire::TokenAsk &request : record.wanted())
            child.wanted.push_back(read(request));
        read(record.permits(), child.permits);
        body.children.push_back(std::move(child));
    }
    body.unresponsiveRelay.value = in.unresponsive_relay();
    return checked(isValid, body);
}

std::optional<MessageBody> fromWire(const wire::CoordinationAnswer &in)
{
    decisions::CoordinationAnswer body;
    body.standing = static_cast<decisions::CoordinatorStanding>(in.standing());
    if (in.has_change()) {
        body.change.emplace();
        body.change->term = in.change().term();
        read(in.change().members(), body.change->members);
        read(in.change().targets(), body.change->targets);
        read(in.change().placements(), body.change->placements);
        read(in.change().rates(), body.change->rates);
    }
    if (in.has_relay())
        body.relay = read(in.relay());
    body.platformReadStatus = {in.proof().configuration_version(),
                               milliseconds(in.proof().configuration_age_ms()),
                               milliseconds(in.proof().targets_age_ms())};
    body.lease = {in.lease().incarnation(), in.lease().renewal(),
                  milliseconds(in.lease().age_ms())};
    if (in.has_loads())
        body.loads = {in.loads().targets_version(),
                      {in.loads().in_flight().begin(), in.loads().in_flight().end()}};
    body.granted = read(in.granted());
    read(in.permits(), body.permits);
    for (const wire::ChildGrant &record : in.child_grants()) {
        decisions::ChildGrant grant {{record.instance()}, read(record.granted()), {}};
        read(record.permits(), grant.permits);
        body.childGrants.push_back(std::move(grant));
    }
    bool isValid = wire::CoordinationAnswer::Standing_IsValid(in.standing());
    for (const wire::QuarantineNotice &record : in.refusals())
        isValid = readInto(record, body.quarantined) && isValid;
    body.configuration = in.configuration();
    if (in.has_holder())
        body.holder = read(in.holder());
    body.reportAfter = milliseconds(in.report_after_ms());
    return checked(isValid, body);
}

std::optional<MessageBody> fromWire(const wire::Refusal &in)
{
    core::Error error;
    return checked(read(in, error), error);
}

} // namespace

std::optional<MessageBody> bodyFromWire(const wire::Envelope &message)
{
    switch (message.body_case()) {
    case wire::Envelope::kHeartbeat:
        return fromWire(message.heartbeat(), message);
    case wire::Envelope::kHeartbeatReply:
        return fromWire(message.heartbeat_reply(), message);
    case wire::Envelope::kMemberEvent:
        return fromWire(message.member_event());
    case wire::Envelope::kMemberFetch:
        return fromWire(message.member_fetch());
    case wire::Envelope::kMemberTable:
        return fromWire(message.member_table());
    case wire::Envelope::kConfigFetch:
        return decisions::ConfigFetch {message.config_fetch().have_version()};
    case wire::Envelope::kConfigUpdate:
        return fromWire(message.config_update());
    case wire::Envelope::kPlatformProbe:
        return decisions::ProbeRequest {message.platform_probe().sequence()};
    case wire::Envelope::kProbeReport:
        return fromWire(message.probe_report());
    case wire::Envelope::kBudgetAsk:
        return fromWire(message.budget_ask(), message);
    case wire::Envelope::kBudgetGrant:
        return fromWire(message.budget_grant(), message);
    case wire::Envelope::kBudgetReturn:
        return fromWire(message.budget_return(), message);
    case wire::Envelope::kTargetUpdate:
        return fromWire(message.target_update());
    case wire::Envelope::kWakeRequest:
        return ColdStartRequest {message.wake_request().request(),
                                 read(message.wake_request().artifact()),
                                 milliseconds(message.wake_request().deadline_ms())};
    case wire::Envelope::kWakeReply:
        return fromWire(message.wake_reply());
    case wire::Envelope::kReplicaUses:
        return fromWire(message.replica_uses());
    case wire::Envelope::kCrashReport:
        return readBody<decisions::quarantine::CrashReport>(message.crash_report());
    case wire::Envelope::kCompletedAnswer:
        return readBody<decisions::quarantine::Completed>(message.completed_answer());
    case wire::Envelope::kQuarantineNotice:
        return readBody<decisions::quarantine::Notice>(message.quarantine_notice());
    case wire::Envelope::kCoordinationReport:
        return fromWire(message.coordination_report());
    case wire::Envelope::kCoordinationAnswer:
        return fromWire(message.coordination_answer());
    case wire::Envelope::kRefusal:
        return fromWire(message.refusal());
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace boragerack::peer
