#pragma once

#include <optional>
#include <string>

#include "boragerack/core/RandomSource.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::gateway {

/// Returns the secret with which nodes authenticate their messages; the first node to start creates
/// it in the platform's store. Returns empty if the store is unavailable or the write did not
/// succeed; the caller should retry.
std::optional<std::string> readFleetSecret(platform::PlatformStore &store,
                                           core::RandomSource &random);

/// Writes the secret again if the platform does not have one, because its store was restored from a
/// copy of the time before. A node that starts would otherwise make another one and would not be
/// understood by the others. False if the call failed.
bool restoreFleetSecret(platform::PlatformStore &store, const std::string &secret);

} // namespace boragerack::gateway
