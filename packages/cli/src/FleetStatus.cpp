#include "FleetStatus.h"

#include <map>
#include <set>
#include <sstream>

#include "StatusRecords.h"
#include "boragerack/config/ConfigurationJson.h"
#include "boragerack/config/EntitlementsPart.h"

namespace boragerack::cli {

namespace {

std::string_view kindName(platform::InstanceKind kind)
{
    switch (kind) {
    case platform::InstanceKind::Engine:
        return "engine";
    case platform::InstanceKind::Service:
        return "service";
    case platform::InstanceKind::Node:
        return "entry";
    }
    return "unknown";
}

/// Reads one object and parses it into `target`. A parse error is appended to `unreadable`; only a
/// failed read is returned. A missing object leaves `target` empty.
template<class T, class Parser>
std::optional<core::Error> readObject(platform::PlatformStore &store, const std::string &key,
                                      Parser parse, std::optional<T> &target,
                                      std::vector<std::string> &unreadable)
{
    const auto object = store.read(key);
    if (!core::isOk(object))
        return core::errorOf(object);
    if (!core::valueOf(object))
        return std::nullopt;
    const auto value = parse(core::valueOf(object)->value);
    if (core::isOk(value))
        target = core::valueOf(value);
    else
        unreadable.push_back(core::errorOf(value).message);
    return std::nullopt;
}

std::optional<core::Error> readMembers(platform::PlatformStore &store, FleetStatus &status)
{
    const auto list = store.list("nodes/");
    if (!core::isOk(list))
        return core::errorOf(list);
    for (const platform::PlatformObject &object : core::valueOf(list).objects) {
        if (const auto member = parseMemberStatus(object.value))
            status.members.push_back(*member);
        else
            status.unreadable.push_back(object.key + ": not a node record");
    }
    return std::nullopt;
}

/// Reads the evacuations of the accepted version from its parts. The parts under `lists/` may
/// contain changes that are not accepted.
std::optional<core::Error> readEvacuations(platform::PlatformStore &store, FleetStatus &status)
{
    const auto parts =
        status.accepted ? status.accepted->parts : std::vector<decisions::PartDigest>();
    std::set<std::string> dataCentres;
    for (const decisions::PartDigest &part : parts) {
        if (!part.name.starts_with("entitlements/"))
            continue;
        const std::string key = "config/parts/" + core::toHex(part.digest);
        std::optional<config::EntitlementsPart> lists;
        const auto parse = [&](const std::string &value) {
            return config::parseEntitlementsPart(key, parsePartText(value).value_or(""));
        };
        if (const auto error = readObject(store, key, parse, lists, status.unreadable))
            return *error;
        if (!lists)
            continue;
        for (const decisions::Evacuation &evacuation : lists->evacuations)
            dataCentres.insert(evacuation.dataCentre.value);
    }
    for (const std::string &dataCentre : dataCentres)
        status.evacuations.push_back({dataCentre, 0});
    return std::nullopt;
}

std::optional<core::Error> readTargets(platform::PlatformStore &store, FleetStatus &status)
{
    const auto instances = store.listInstances();
    if (!core::isOk(instances))
        return core::errorOf(instances);
    const auto records = store.list("targets/");
    if (!core::isOk(records))
        return core::errorOf(records);
    std::map<std::string, TargetStatus> targets;
    for (const platform::InstanceRecord &instance : core::valueOf(instances)) {
        if (instance.kind == platform::InstanceKind::Node)
            continue;
        TargetStatus &line = targets[instance.instance.value];
        line.target = instance.instance.value;
        line.kind = kindName(instance.kind);
        line.state = instance.state == platform::InstanceState::Leaving ? "leaving" : "live";
        line.memoryMiB = instance.memoryMiB;
        for (EvacuationStatus &evacuation : status.evacuations)
            evacuation.targets += evacuation.dataCentre == instance.dataCentre.value ? 1 : 0;
    }
    for (const platform::PlatformObject &object : core::valueOf(records).objects) {
        const auto reserved = parseReservedMemory(object.value);
        if (!reserved) {
            status.unreadable.push_back(object.key + ": not a target record");
            continue;
        }
        const std::string target = object.key.substr(std::string_view("targets/").size());
        TargetStatus &line = targets[target];
        if (line.target.empty()) {
            line.target = target;
            line.kind = "engine";
            line.state = "not in the instance list";
            line.memoryMiB = reserved->memoryMiB;
        }
        line.reservedMiB = reserved->reservedMiB;
        line.reservations = reserved->reservations;
    }
    for (const auto &[target, line] : targets)
        status.targets.push_back(line);
    return std::nullopt;
}

void formatConfiguration(const FleetStatus &status, std::ostream &stream)
{
    if (!status.accepted) {
        stream << "accepted: none\n";
    } else {
        stream << "accepted: version " << status.accepted->version << ", lists of revision "
               << status.accepted->listRevision << ", written by " << status.accepted->writer
               << '\n';
        for (const decisions::PartDigest &part : status.accepted->parts)
            stream << "  " << part.name << "  " << core::toHex(part.digest) << '\n';
    }
    const std::size_t rejected = status.configuration ? status.configuration->rejected.size() : 0;
    stream << "rejected: " << rejected << '\n';
    for (std::size_t i = 0; i < rejected; ++i) {
        const decisions::RejectedPart &part = status.configuration->rejected[i];
        stream << "  " << part.name << "  version " << part.version << "  " << part.reason << '\n';
    }
    if (!status.accepted)
        return;
    stream << "evacuations: " << status.evacuations.size() << '\n';
    for (const EvacuationStatus &evacuation : status.evacuations)
        stream << "  " << evacuation.dataCentre << "  targets " << evacuation.targets << '\n';
}

} // namespace

core::Result<FleetStatus> readFleetStatus(platform::PlatformStore &store)
{
    FleetStatus status;
    if (const auto error = readObject(store, "config/accepted", config::parseConfigurationHead,
                                      status.accepted, status.unreadable))
        return *error;
    if (const auto error = readObject(store, "status/config", config::parseStatus,
                                      status.configuration, status.unreadable))
        return *error;
    if (const auto error = readMembers(store, status))
        return *error;
    if (const auto error = readEvacuations(store, status))
        return *error;
    if (const auto error = readTargets(store, status))
        return *error;
    return status;
}

bool isHealthy(const FleetStatus &status)
{
    return status.accepted && status.unreadable.empty()
        && (!status.configuration || status.configuration->rejected.empty());
}

std::string formatStatus(const FleetStatus &status)
{
    std::ostringstream stream;
    formatConfiguration(status, stream);
    stream << "members: " << status.members.size() << '\n';
    for (const MemberStatus &member : status.members) {
        stream << "  " << member.instance << "  " << member.dataCentre << "  callers "
               << member.callerAddress << "  peers " << member.peerAddress << "  incarnation "
               << member.incarnation << '\n';
    }
    stream << "targets: " << status.targets.size() << '\n';
    for (const TargetStatus &target : status.targets) {
        stream << "  " << target.target << "  " << target.kind << "  " << target.state;
        if (target.kind == "engine") {
            stream << "  reserved " << target.reservedMiB << " of " << target.memoryMiB
                   << " MiB, intents " << target.reservations;
        }
        stream << '\n';
    }
    for (const std::string &line : status.unreadable)
        stream << "unreadable: " << line << '\n';
    return stream.str();
}

} // namespace boragerack::cli
