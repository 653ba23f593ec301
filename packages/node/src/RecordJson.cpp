#include "RecordJson.h"

#include <array>

#include "JsonMembers.h"

namespace boragerack::node {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> kPhaseNames = {"recorded", "ready", "draining",
                                                         "unloading"};
constexpr std::array<std::string_view, 3> kClaimPhaseNames = {"open", "finished", "released"};

/// Returns the index of the name. An unknown name maps to the first value, the most
/// conservative one, which releases nothing.
template<std::size_t Size>
std::size_t indexOf(const std::array<std::string_view, Size> &names, std::string_view name)
{
    for (std::size_t i = 0; i < Size; ++i) {
        if (names[i] == name)
            return i;
    }
    return 0;
}

json::object describeArtifact(const decisions::Artifact &artifact)
{
    return {{"model", artifact.model.value},
            {"version", artifact.version},
            {"adapter", artifact.adapter.value}};
}

decisions::Artifact readArtifact(const json::value &value)
{
    return {{stringMember(value, "model")},
            stringMember(value, "version"),
            {stringMember(value, "adapter")}};
}

decisions::OperationId readStamp(const json::value &value, std::string_view name)
{
    return decisions::parseOperationId(stringMember(value, name))
        .value_or(decisions::OperationId());
}

const json::value &memberOrNull(const json::value &value, std::string_view name)
{
    static const json::value null;
    const json::object *object = value.if_object();
    const json::value *member = object ? object->if_contains(name) : nullptr;
    return member ? *member : null;
}

json::object describeOutcome(const decisions::ClaimOutcome &outcome)
{
    return {{"verdict", core::verdictName(outcome.verdict)},
            {"status", outcome.status},
            {"contentType", outcome.contentType},
            {"body", outcome.body},
            {"hasBody", outcome.hasBody}};
}

decisions::ClaimOutcome readOutcome(const json::value &value)
{
    decisions::ClaimOutcome outcome;
    for (const core::Verdict verdict : {core::Verdict::NotRun, core::Verdict::Ran}) {
        if (stringMember(value, "verdict") == core::verdictName(verdict))
            outcome.verdict = verdict;
    }
    outcome.status = static_cast<std::uint16_t>(uint64Member(value, "status"));
    outcome.contentType = stringMember(value, "contentType");
    outcome.body = stringMember(value, "body");
    outcome.hasBody = boolMember(value, "hasBody");
    return outcome;
}

} // namespace

std::string serialiseModelRecord(const decisions::ModelRecord &record)
{
    json::array replicas;
    for (const decisions::ReplicaDecision &replica : record.replicas) {
        replicas.push_back(json::object {{"target", replica.target.value},
                                         {"order", decisions::formatOperationId(replica.order)}});
    }
    return json::serialize(json::object {{"artifact", describeArtifact(record.artifact)},
                                         {"replicas", replicas},
                                         {"writer", decisions::formatOperationId(record.writer)}});
}

core::Result<decisions::ModelRecord> parseModelRecord(std::string_view text)
{
    const auto read = [](const json::value &value) -> core::Result<decisions::ModelRecord> {
        decisions::ModelRecord record;
        record.artifact = readArtifact(memberOrNull(value, "artifact"));
        for (const json::value &entry : arrayMember(value, "replicas"))
            record.replicas.push_back({{stringMember(entry, "target")}, readStamp(entry, "order")});
        record.writer = readStamp(value, "writer");
        return record;
    };
    return parseJson<decisions::ModelRecord>("model record", text, read);
}

std::string serialiseTargetRecord(const decisions::TargetRecord &record)
{
    json::array intents;
    for (const decisions::MemoryReservation &intent : record.reservations) {
        intents.push_back(
            json::object {{"order", decisions::formatOperationId(intent.order)},
                          {"artifact", describeArtifact(intent.artifact)},
                          {"memoryMiB", intent.memoryMiB},
                          {"phase", kPhaseNames[static_cast<std::size_t>(intent.phase)]}});
    }
    return json::serialize(json::object {{"target", record.target.value},
                                         {"memoryMiB", record.memoryMiB},
                                         {"intents", intents},
                                         {"writer", decisions::formatOperationId(record.writer)}});
}

core::Result<decisions::TargetRecord> parseTargetRecord(std::string_view text)
{
    const auto read = [](const json::value &value) -> core::Result<decisions::TargetRecord> {
        decisions::TargetRecord record;
        record.target.value = stringMember(value, "target");
        record.memoryMiB = uint64Member(value, "memoryMiB");
        for (const json::value &entry : arrayMember(value, "intents")) {
            const std::size_t phase = indexOf(kPhaseNames, stringMember(entry, "phase"));
            record.reservations.push_back({readStamp(entry, "order"),
                                           readArtifact(memberOrNull(entry, "artifact")),
                                           uint64Member(entry, "memoryMiB"),
                                           static_cast<decisions::ReservationPhase>(phase)});
        }
        record.writer = readStamp(value, "writer");
        return record;
    };
    return parseJson<decisions::TargetRecord>("target record", text, read);
}

std::string serialiseClaimRecord(const decisions::ClaimRecord &record)
{
    json::object object {{"instance", record.writer.instance.value},
                         {"incarnation", record.writer.incarnation},
                         {"sequence", record.writer.sequence},
                         {"request", core::toHex(record.request)},
                         {"phase", kClaimPhaseNames[static_cast<std::size_t>(record.phase)]}};
    if (record.outcome)
        object["outcome"] = describeOutcome(*record.outcome);
    return json::serialize(object);
}

core::Result<decisions::ClaimRecord> parseClaimRecord(std::string_view text)
{
    const auto read = [](const json::value &value) -> core::Result<decisions::ClaimRecord> {
        decisions::ClaimRecord record;
        record.writer = {{stringMember(value, "instance")},
                         uint64Member(value, "incarnation"),
                         uint64Member(value, "sequence")};
        record.request = core::parseDigest(stringMember(value, "request")).value_or(core::Digest());
        record.phase = static_cast<decisions::ClaimPhase>(
            indexOf(kClaimPhaseNames, stringMember(value, "phase")));
        if (const json::value &outcome = memberOrNull(value, "outcome"); outcome.is_object())
            record.outcome = readOutcome(outcome);
        return record;
    };
    return parseJson<decisions::ClaimRecord>("claim record", text, read);
}

} // namespace boragerack::node
