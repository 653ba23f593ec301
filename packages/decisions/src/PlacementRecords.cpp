#include "boragerack/decisions/PlacementRecords.h"

namespace boragerack::decisions {

std::uint64_t reservedMiB(const TargetRecord &record)
{
    std::uint64_t sum = 0;
    for (const MemoryReservation &intent : record.reservations)
        sum += intent.memoryMiB;
    return sum;
}

} // namespace boragerack::decisions
