#pragma once

#include "boragerack/core/Error.h"

namespace boragerack::platform {

/// Error of a call that got no whole answer of the platform.
core::Error makePlatformCallError(core::Error error);

} // namespace boragerack::platform
