#include "EvacuatedTargets.h"

namespace boragerack::node {

bool isEvacuated(const ActiveConfiguration &configuration, const TargetTable &table,
                 const core::TargetId &target)
{
    if (configuration.version == 0)
        return true;
    const auto &evacuated = configuration.catalogue.contents().evacuated;
    const auto found = table.targets.find(target);
    return found != table.targets.end() && evacuated.contains(found->second.dataCentre);
}

std::map<core::DataCentreId, std::size_t>
countEvacuatedTargets(const ActiveConfiguration &configuration, const TargetTable &table)
{
    std::map<core::DataCentreId, std::size_t> counts;
    for (const core::DataCentreId &dataCentre : configuration.catalogue.contents().evacuated)
        counts.emplace(dataCentre, 0);
    for (const auto &[target, record] : table.targets) {
        if (const auto count = counts.find(record.dataCentre); count != counts.end())
            ++count->second;
    }
    return counts;
}

} // namespace boragerack::node
