#include "EngineJson.h"

#include "JsonMembers.h"

namespace boragerack::node {

namespace json = boost::json;

namespace {

decisions::Artifact readArtifact(const json::value &value)
{
    return {{stringMember(value, "model")},
            stringMember(value, "version"),
            {stringMember(value, "adapter")}};
}

decisions::WeightsState readState(std::string_view name)
{
    if (name == "ready")
        return decisions::WeightsState::Ready;
    return name == "unloading" ? decisions::WeightsState::Unloading
                               : decisions::WeightsState::Loading;
}

} // namespace

core::Result<decisions::EngineReport> parseEngineReport(std::string_view text)
{
    const auto read = [](const json::value &value) -> core::Result<decisions::EngineReport> {
        decisions::EngineReport report;
        report.memoryMiB = uint64Member(value, "memoryMiB");
        report.usedMiB = uint64Member(value, "usedMiB");
        report.isLeaving = boolMember(value, "leaving");
        for (const json::value &entry : arrayMember(value, "loaded")) {
            const auto order = decisions::parseOperationId(stringMember(entry, "order"));
            report.loaded.push_back({readArtifact(entry), readState(stringMember(entry, "state")),
                                     uint64Member(entry, "memoryMiB"),
                                     order.value_or(decisions::OperationId())});
        }
        for (const json::value &entry : arrayMember(value, "orders")) {
            if (!entry.is_string())
                continue;
            if (const auto order = decisions::parseOperationId(entry.get_string()))
                report.orders.push_back(*order);
        }
        for (const json::value &entry : arrayMember(value, "cached")) {
            const bool isInMemory = stringMember(entry, "place") == "memory";
            report.cached.push_back(
                {readArtifact(entry),
                 isInMemory ? decisions::CheckpointTier::Memory : decisions::CheckpointTier::Disk});
        }
        return report;
    };
    return parseJson<decisions::EngineReport>("engine report", text, read);
}

std::string serialiseOrder(const decisions::SendOrder &order)
{
    json::object object {{"order", decisions::formatOperationId(order.order)},
                         {"model", order.artifact.model.value},
                         {"version", order.artifact.version},
                         {"memoryMiB", order.memoryMiB},
                         {"fence", order.fence}};
    if (order.artifact.isAdapter())
        object["adapter"] = order.artifact.adapter.value;
    return json::serialize(object);
}

} // namespace boragerack::node
