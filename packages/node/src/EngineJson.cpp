#include "EngineJson.h"

#include "JsonText.h"

namespace boragerack::node {

namespace json = boost::json;

namespace {

decisions::Artifact readArtifact(const json::value &value)
{
    return {
        {textMember(value, "model")}, textMember(value, "version"), {textMember(value, "adapter")}};
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
        report.memoryMiB = numberMember(value, "memoryMiB");
        report.usedMiB = numberMember(value, "usedMiB");
        report.isLeaving = flagMember(value, "leaving");
        for (const json::value &entry : arrayMember(value, "loaded")) {
            const auto order = decisions::parseStamp(textMember(entry, "order"));
            report.loaded.push_back({readArtifact(entry), readState(textMember(entry, "state")),
                                     numberMember(entry, "memoryMiB"),
                                     order.value_or(decisions::Stamp())});
        }
        for (const json::value &entry : arrayMember(value, "orders")) {
            if (!entry.is_string())
                continue;
            if (const auto order = decisions::parseStamp(entry.get_string()))
                report.orders.push_back(*order);
        }
        for (const json::value &entry : arrayMember(value, "cached")) {
            const bool isInMemory = textMember(entry, "place") == "memory";
            report.cached.push_back({readArtifact(entry),
                                     isInMemory ? decisions::CheckpointPlace::Memory
                                                : decisions::CheckpointPlace::Disk});
        }
        return report;
    };
    return parseJson<decisions::EngineReport>("engine report", text, read);
}

std::string serialiseOrder(const decisions::SendOrder &order)
{
    json::object object {{"order", decisions::stampText(order.order)},
                         {"model", order.artifact.model.value},
                         {"version", order.artifact.version},
                         {"memoryMiB", order.memoryMiB},
                         {"fence", order.fence}};
    if (order.artifact.isAdapter())
        object["adapter"] = order.artifact.adapter.value;
    return json::serialize(object);
}

} // namespace boragerack::node
