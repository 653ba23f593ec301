#include "boragerack/platform/CallError.h"

namespace boragerack::platform {

core::Error makePlatformCallError(core::Error error)
{
    error.code = core::ErrorCode::PlatformUnavailable;
    // The outcome is also unknown if the connection failed after the response had started.
    if (error.verdict == core::Verdict::Ran)
        error.verdict = core::Verdict::MayHaveRun;
    return error;
}

} // namespace boragerack::platform
