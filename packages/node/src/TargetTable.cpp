#include "TargetTable.h"

namespace boragerack::node {

std::vector<core::TargetId> findServiceTargets(const TargetTable &table,
                                               const core::ServiceId &service)
{
    std::vector<core::TargetId> found;
    for (const auto &[target, record] : table.targets) {
        if (record.kind == platform::InstanceKind::Service && record.service == service)
            found.push_back(target);
    }
    return found;
}

decisions::SendPermission sendPermission(const TargetTable &table, const core::TargetId &target)
{
    const auto position = table.targets.find(target);
    return position != table.targets.end()
            && position->second.state != platform::InstanceState::Leaving
        ? decisions::SendPermission::Granted
        : decisions::SendPermission::TargetLeft;
}

} // namespace boragerack::node
