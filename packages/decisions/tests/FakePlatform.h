#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "boragerack/decisions/ConfigurationRelay.h"
#include "boragerack/decisions/MemberView.h"

namespace boragerack::decisions::tests {

/// In-memory platform objects that a FleetAgent uses, with one revision across all of them.
class FakePlatform
{
public:
    std::uint64_t revision() const { return revision_; }

    /// Parts with a version above `after`; deleted ones only if `after` is not 0.
    std::vector<ListPart> lists(std::uint64_t after) const;
    std::optional<ListPart> list(const std::string &name) const;
    /// Updates the part only if it has the expected version (0: absent); returns whether it did.
    bool putList(const std::string &name, std::optional<std::string> text, std::uint64_t expected);

    std::vector<MemberRecord> records(std::uint64_t after) const;
    std::uint64_t putRecord(MemberRecord record);
    void removeRecord(const core::InstanceId &instance, std::uint64_t expected);

    const std::optional<StoredHead> &head() const { return head_; }
    std::optional<std::uint64_t> putHead(const ConfigurationHead &head,
                                         std::optional<std::uint64_t> expected);
    std::map<core::Digest, std::string> parts;
    std::optional<ConfigurationStatus> status;
    std::set<core::InstanceId> instances;

private:
    std::uint64_t revision_ = 0;
    std::map<std::string, ListPart> lists_;
    std::map<core::InstanceId, MemberRecord> records_;
    std::optional<StoredHead> head_;
};

} // namespace boragerack::decisions::tests
