#include "PlatformJson.h"

#include <optional>

#include <utility>

#include <boost/json.hpp>

#include "boragerack/platform/LenientJson.h"

namespace boragerack::platform {

namespace json = boost::json;

namespace {

std::string stringAt(const json::value &object, std::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

/// Returns an optional string member; empty if it is missing or not a string.
std::string optionalString(const json::object &object, std::string_view name)
{
    const json::value *member = object.if_contains(name);
    return member && member->is_string() ? std::string(member->get_string()) : std::string();
}

std::uint64_t numberAt(const json::value &object, std::string_view name)
{
    return object.at(name).to_number<std::uint64_t>();
}

PlatformObject readObject(const json::value &value)
{
    return {stringAt(value, "key"), numberAt(value, "version"), json::serialize(value.at("value"))};
}

ObjectChange readChange(const json::value &value)
{
    ObjectChange change {stringAt(value, "key"), numberAt(value, "version"), std::nullopt};
    if (!value.as_object().contains("deleted"))
        change.value = json::serialize(value.at("value"));
    return change;
}

InstanceRecord readInstance(const json::value &value)
{
    const json::object &object = value.as_object();
    InstanceRecord record;
    record.instance.value = stringAt(value, "instance");
    record.address = stringAt(value, "address");
    record.dataCentre.value = optionalString(object, "dataCentre");
    record.region.value = optionalString(object, "region");
    record.service.value = optionalString(object, "service");
    const std::string kind = optionalString(object, "kind");
    record.kind = kind == "service" ? InstanceKind::Service
        : kind == "entry"           ? InstanceKind::Node
                                    : InstanceKind::Engine;
    if (optionalString(object, "state") == "leaving")
        record.state = InstanceState::Leaving;
    if (const json::value *memory = object.if_contains("memoryMiB"))
        record.memoryMiB = memory->to_number<std::uint64_t>();
    if (const json::value *checks = object.if_contains("checksFencing"))
        record.checksFencing = checks->as_bool();
    return record;
}

std::optional<InstanceRecord> tryReadInstance(const json::value &value)
{
    try {
        return readInstance(value);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

/// Levels at which the parts of a record stand in a list: the list, the record, its parts.
constexpr int kListLevels = 3;

/// Parses the text and applies `reader` to it. Parts of records that cannot be read are null.
/// Exceptions, which Boost.JSON throws on a syntax
/// error, a missing member or a wrong type, become a ProtocolViolation error.
template<class T, class Reader>
core::Result<T> parseWith(const std::string &text, Reader reader)
{
    try {
        return reader(parseLenient(text, kListLevels));
    } catch (const std::exception &exception) {
        return core::Error {core::ErrorCode::ProtocolViolation, core::Verdict::MayHaveRun,
                            std::string("platform answer is not understood: ") + exception.what(),
                            std::chrono::milliseconds(0)};
    }
}

} // namespace

core::Result<std::optional<PlatformObject>> parseObject(const std::string &text)
{
    using Found = std::optional<PlatformObject>;
    return parseWith<Found>(text, [](const json::value &value) {
        return value.as_object().empty() ? Found() : Found(readObject(value));
    });
}

core::Result<ObjectList> parseObjectList(const std::string &text)
{
    return parseWith<ObjectList>(text, [](const json::value &value) {
        ObjectList list;
        list.revision = numberAt(value, "revision");
        for (const json::value &item : value.at("items").as_array())
            list.objects.push_back(readObject(item));
        return list;
    });
}

core::Result<ChangeList> parseChangeList(const std::string &text)
{
    return parseWith<ChangeList>(text, [](const json::value &value) {
        ChangeList list;
        list.revision = numberAt(value, "revision");
        for (const json::value &event : value.at("events").as_array())
            list.changes.push_back(readChange(event));
        return list;
    });
}

core::Result<std::vector<InstanceRecord>> parseInstances(const std::string &text)
{
    using Records = std::vector<InstanceRecord>;
    return parseWith<Records>(text, [](const json::value &value) {
        Records records;
        for (const json::value &instance : value.at("instances").as_array()) {
            // A record of another writer must not hide the other instances.
            if (auto record = tryReadInstance(instance))
                records.push_back(std::move(*record));
        }
        return records;
    });
}

core::Result<std::uint64_t> parseWrittenVersion(const std::string &text)
{
    return parseWith<std::uint64_t>(
        text, [](const json::value &value) { return numberAt(value, "version"); });
}

} // namespace boragerack::platform
