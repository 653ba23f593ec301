#pragma once

#include <cstdint>

namespace boragerack::gateway {

/// Incarnation of a process that starts at this version of the platform's store, as a number of a
/// core::StoreVersion. Versions grow between two starts of a process, because targets write to the
/// store continuously. The random part distinguishes two starts at the same version.
std::uint64_t makeIncarnation(std::uint64_t storeVersion, std::uint64_t random);

} // namespace boragerack::gateway
