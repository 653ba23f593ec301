#include "FakePlatform.h"

#include <utility>

namespace boragerack::decisions::tests {

std::vector<ListPart> FakePlatform::lists(std::uint64_t after) const
{
    std::vector<ListPart> result;
    for (const auto &[name, part] : lists_) {
        if (part.version > after && (after != 0 || part.text))
            result.push_back(part);
    }
    return result;
}

std::optional<ListPart> FakePlatform::list(const std::string &name) const
{
    const auto found = lists_.find(name);
    return found == lists_.end() || !found->second.text ? std::nullopt
                                                        : std::optional(found->second);
}

bool FakePlatform::putList(const std::string &name, std::optional<std::string> text,
                           std::uint64_t expected)
{
    const auto held = list(name);
    if ((held ? held->version : 0) != expected)
        return false;
    lists_[name] = {name, ++revision_, std::move(text)};
    return true;
}

std::vector<MemberRecord> FakePlatform::records(std::uint64_t after) const
{
    std::vector<MemberRecord> result;
    for (const auto &[instance, record] : records_) {
        if (record.version > after && (after != 0 || !record.isRemoved))
            result.push_back(record);
    }
    return result;
}

std::uint64_t FakePlatform::putRecord(MemberRecord record)
{
    record.version = ++revision_;
    records_[record.instance] = record;
    return record.version;
}

void FakePlatform::removeRecord(const core::InstanceId &instance, std::uint64_t expected)
{
    MemberRecord &record = records_[instance];
    if (record.version != expected || record.isRemoved)
        return;
    record.version = ++revision_;
    record.isRemoved = true;
}

std::optional<std::uint64_t> FakePlatform::putHead(const ConfigurationHead &head,
                                                   std::optional<std::uint64_t> expected)
{
    const auto held = head_ ? std::optional(head_->platformVersion) : std::nullopt;
    if (held != expected)
        return std::nullopt;
    head_ = StoredHead {head, ++revision_};
    return revision_;
}

} // namespace boragerack::decisions::tests
