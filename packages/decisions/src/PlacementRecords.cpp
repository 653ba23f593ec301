#include "boragerack/decisions/PlacementRecords.h"

namespace boragerack::decisions {

std::uint64_t reservedMiB(const TargetRecord &record)
{
    std::uint64_t sum = 0;
    for (const MemoryReservation &reservation : record.reservations)
        sum += reservation.memoryMiB;
    return sum;
}

} // namespace boragerack::decisions
