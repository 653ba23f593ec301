#pragma once

#include "boragerack/core/Error.h"

namespace boragerack::platform {

/// Converts the error of a call without a complete response to PlatformUnavailable. A verdict of
/// Ran becomes MayHaveRun, since the outcome is unknown.
core::Error makePlatformCallError(core::Error error);

} // namespace boragerack::platform
