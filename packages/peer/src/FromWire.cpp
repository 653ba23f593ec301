#include "WireConversion.h"

#include <algorithm>
#include <string>

namespace boragerack::peer {

namespace {

using std::chrono::milliseconds;

std::optional<core::Digest> readDigest(const std::string &bytes)
{
    core::Digest digest;
    if (bytes.size() != digest.bytes.size())
        return std::nullopt;
    std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
    return digest;
}

std::optional<MessageBody> fromWire(const wire::Heartbeat &in)
{
    Heartbeat body {in.configuration_version(),
                    in.members_version(),
                    in.targets_version(),
                    in.shares_version(),
                    {}};
    for (const wire::Beacon &record : in.beacons()) {
        body.beacons.push_back({core::InstanceId {record.relay()}, record.sequence(),
                                milliseconds(record.age_ms()), record.platform_down()});
    }
    return body;
}

std::optional<MessageBody> fromWire(const wire::MemberEvent &in)
{
    if (!wire::MemberEvent::Kind_IsValid(in.kind()))
        return std::nullopt;
    return MemberEvent {static_cast<MemberEventKind>(in.kind()),
                        core::InstanceId {in.instance()},
                        in.incarnation(),
                        in.address(),
                        core::DataCentreId {in.data_centre()},
                        core::RegionId {in.region()},
                        in.version()};
}

std::optional<MessageBody> fromWire(const wire::ConfigUpdate &in)
{
    ConfigUpdate body {in.version(), {}, {}};
    for (const wire::ConfigPart &record : in.parts()) {
        const auto digest = readDigest(record.digest());
        if (!digest)
            return std::nullopt;
        body.parts.push_back({record.name(), *digest});
    }
    body.contents.assign(in.contents().begin(), in.contents().end());
    return body;
}

std::optional<MessageBody> fromWire(const wire::ConfigFetch &in)
{
    ConfigFetch body {in.known_version(), {}};
    for (const std::string &bytes : in.wanted()) {
        const auto digest = readDigest(bytes);
        if (!digest)
            return std::nullopt;
        body.wanted.push_back(*digest);
    }
    return body;
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
            target.replicas.push_back({core::ModelId {entry.model()},
                                       core::AdapterId {entry.adapter()}, entry.version(),
                                       static_cast<ReplicaState>(entry.state())});
        }
        body.targets.push_back(std::move(target));
    }
    return body;
}

std::optional<MessageBody> fromWire(const wire::BudgetAsk &in)
{
    return BudgetAsk {core::OrganisationId {in.organisation()}, in.share(), in.sequence(),
                      in.tokens()};
}

std::optional<MessageBody> fromWire(const wire::BudgetGrant &in)
{
    return BudgetGrant {core::OrganisationId {in.organisation()}, in.share(), in.sequence(),
                        in.tokens(), milliseconds(in.lifetime_ms())};
}

std::optional<MessageBody> fromWire(const wire::BudgetReturn &in)
{
    return BudgetReturn {core::OrganisationId {in.organisation()}, in.share(), in.sequence(),
                         in.tokens(), in.holder_incarnation()};
}

std::optional<MessageBody> fromWire(const wire::WakeRequest &in)
{
    return WakeRequest {core::ModelId {in.model()}, core::AdapterId {in.adapter()}, in.version(),
                        in.waiting_requests(), milliseconds(in.deadline_ms())};
}

std::optional<MessageBody> fromWire(const wire::WakeReply &in)
{
    if (!wire::WakeReply::Outcome_IsValid(in.outcome()))
        return std::nullopt;
    return WakeReply {static_cast<WakeOutcome>(in.outcome()), core::TargetId {in.target()},
                      milliseconds(in.expected_ms()), in.reason()};
}

std::optional<MessageBody> fromWire(const wire::CrashReport &in)
{
    const auto fingerprint = readDigest(in.fingerprint());
    if (!fingerprint)
        return std::nullopt;
    return CrashReport {*fingerprint, core::TargetId {in.target()}, in.attempt()};
}

std::optional<MessageBody> fromWire(const wire::QuarantineNotice &in)
{
    const auto fingerprint = readDigest(in.fingerprint());
    if (!fingerprint)
        return std::nullopt;
    return QuarantineNotice {*fingerprint, in.deaths(), milliseconds(in.remaining_ms())};
}

std::optional<MessageBody> fromWire(const wire::PlatformProbe &in)
{
    return PlatformProbe {in.reachable(), milliseconds(in.last_success_age_ms())};
}

std::optional<MessageBody> fromWire(const wire::Refusal &in)
{
    if (in.code() > static_cast<std::uint32_t>(core::ErrorCode::Internal)
        || in.verdict() > static_cast<std::uint32_t>(core::Verdict::Ran))
        return std::nullopt;
    return core::Error {static_cast<core::ErrorCode>(in.code()),
                        static_cast<core::Verdict>(in.verdict()), in.message(),
                        milliseconds(in.retry_after_ms())};
}

} // namespace

std::optional<MessageBody> bodyFromWire(const wire::Envelope &message)
{
    switch (message.body_case()) {
    case wire::Envelope::kHeartbeat:
        return fromWire(message.heartbeat());
    case wire::Envelope::kMemberEvent:
        return fromWire(message.member_event());
    case wire::Envelope::kConfigUpdate:
        return fromWire(message.config_update());
    case wire::Envelope::kConfigFetch:
        return fromWire(message.config_fetch());
    case wire::Envelope::kTargetUpdate:
        return fromWire(message.target_update());
    case wire::Envelope::kBudgetAsk:
        return fromWire(message.budget_ask());
    case wire::Envelope::kBudgetGrant:
        return fromWire(message.budget_grant());
    case wire::Envelope::kBudgetReturn:
        return fromWire(message.budget_return());
    case wire::Envelope::kWakeRequest:
        return fromWire(message.wake_request());
    case wire::Envelope::kWakeReply:
        return fromWire(message.wake_reply());
    case wire::Envelope::kCrashReport:
        return fromWire(message.crash_report());
    case wire::Envelope::kQuarantineNotice:
        return fromWire(message.quarantine_notice());
    case wire::Envelope::kPlatformProbe:
        return fromWire(message.platform_probe());
    case wire::Envelope::kRefusal:
        return fromWire(message.refusal());
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace boragerack::peer
