#pragma once

#include <optional>
#include <string>

#include "boragerack/core/RandomSource.h"
#include "boragerack/platform/PlatformStore.h"

namespace boragerack::gateway {

/// The secret with which nodes authenticate their messages. The first node to start creates it in
/// the platform's store. Nothing if the store does not answer.
std::optional<std::string> readFleetSecret(platform::PlatformStore &store,
                                           core::RandomSource &random);

} // namespace boragerack::gateway
