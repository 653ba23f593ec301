#include "FleetEvents.h"

#include <string_view>

#include "JsonMembers.h"
#include "MembershipSnapshot.h"

namespace boragerack::node {

namespace json = boost::json;

namespace {

constexpr std::string_view kListPrefix = "lists/";
constexpr std::string_view kMemberPrefix = "nodes/";

/// Adds the record of a node; a record that cannot be parsed is skipped.
void addRecord(decisions::MemberView::RecordsRead &read, std::uint64_t version,
               const std::string &value)
{
    const auto parsed = parseMember(value);
    if (!core::isOk(parsed))
        return;
    decisions::MemberRecord record = core::valueOf(parsed);
    record.version = version;
    read.records.push_back(std::move(record));
}

} // namespace

decisions::ConfigurationRelay::ListsRead makeListsRead(const platform::ObjectList &list,
                                                       core::TimePoint requestedAt)
{
    decisions::ConfigurationRelay::ListsRead read {true, list.revision, {}, requestedAt};
    for (const platform::PlatformObject &object : list.objects)
        read.parts.push_back({object.key.substr(kListPrefix.size()), object.version, object.value});
    return read;
}

decisions::ConfigurationRelay::ListsRead makeListsRead(const platform::ChangeList &changes,
                                                       core::TimePoint requestedAt)
{
    decisions::ConfigurationRelay::ListsRead read {false, changes.revision, {}, requestedAt};
    for (const platform::ObjectChange &change : changes.changes)
        read.parts.push_back({change.key.substr(kListPrefix.size()), change.version, change.value});
    return read;
}

decisions::MemberView::RecordsRead makeRecordsRead(const platform::ObjectList &list)
{
    decisions::MemberView::RecordsRead read {true, list.revision, {}};
    for (const platform::PlatformObject &object : list.objects)
        addRecord(read, object.version, object.value);
    return read;
}

decisions::MemberView::RecordsRead makeRecordsRead(const platform::ChangeList &changes)
{
    decisions::MemberView::RecordsRead read {false, changes.revision, {}};
    for (const platform::ObjectChange &change : changes.changes) {
        if (change.value) {
            addRecord(read, change.version, *change.value);
            continue;
        }
        decisions::MemberRecord removed;
        removed.instance.value = change.key.substr(kMemberPrefix.size());
        removed.version = change.version;
        removed.isRemoved = true;
        read.records.push_back(std::move(removed));
    }
    return read;
}

std::string serialiseConfigurationPart(const std::string &text)
{
    return json::serialize(json::object {{"text", text}});
}

std::string parseConfigurationPart(const std::string &value)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(value, error);
    return error ? std::string() : stringMember(parsed, "text");
}

} // namespace boragerack::node
