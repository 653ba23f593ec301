#include "boragerack/decisions/TargetRecords.h"

#include <set>

namespace boragerack::decisions {

void TargetRecords::replace(std::uint64_t revision,
                            const std::vector<Versioned<TargetRecord>> &records)
{
    std::set<core::TargetId> present;
    for (const Versioned<TargetRecord> &record : records) {
        present.insert(record.record.target);
        update(record);
    }
    std::erase_if(records_, [&](const auto &item) {
        return !present.contains(item.first) && item.second.version <= revision;
    });
}

void TargetRecords::update(const Versioned<TargetRecord> &record)
{
    Versioned<TargetRecord> &known = records_[record.record.target];
    if (record.version >= known.version)
        known = record;
}

} // namespace boragerack::decisions
