#include "EvacuationCheck.h"

#include <set>

#include "boragerack/config/EntitlementsPart.h"

namespace boragerack::cli {

std::vector<std::string>
findEvacuationWarnings(const ListFiles &files,
                       const std::vector<platform::InstanceRecord> &instances)
{
    std::set<core::DataCentreId> withTargets;
    for (const platform::InstanceRecord &instance : instances) {
        if (instance.kind != platform::InstanceKind::Node)
            withTargets.insert(instance.dataCentre);
    }
    std::vector<std::string> warnings;
    for (const auto &[part, file] : files) {
        if (!part.starts_with("entitlements/"))
            continue;
        const auto parsed = config::parseEntitlementsPart(file.path, file.text);
        if (!core::isOk(parsed))
            continue;
        const auto &evacuations = core::valueOf(parsed).evacuations;
        for (std::size_t i = 0; i < evacuations.size(); ++i) {
            if (!withTargets.contains(evacuations[i].dataCentre)) {
                warnings.push_back(file.path + ": evacuations[" + std::to_string(i)
                                   + "].dataCentre: found \"" + evacuations[i].dataCentre.value
                                   + "\", which has no target in the instance list");
            }
        }
    }
    return warnings;
}

} // namespace boragerack::cli
