#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "boragerack/decisions/PlacementRecords.h"

namespace boragerack::decisions {

/// The target records of the platform, as one node has read them. Complete reads and changes come
/// from several calls, whose answers may arrive in another order than the platform gave them.
class TargetRecords
{
public:
    /// Adopts a complete read as of `revision`. Records that are missing from it were deleted,
    /// unless a later change contained them.
    void replace(std::uint64_t revision, const std::vector<Versioned<TargetRecord>> &records);

    /// Adopts a changed record unless a later version of it is known.
    void update(const Versioned<TargetRecord> &record);

    const std::map<core::TargetId, Versioned<TargetRecord>> &records() const { return records_; }

private:
    std::map<core::TargetId, Versioned<TargetRecord>> records_;
};

} // namespace boragerack::decisions
