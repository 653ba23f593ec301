#include "boragerack/platform/CallError.h"

namespace boragerack::platform {

core::Error makePlatformCallError(core::Error error)
{
    error.code = core::ErrorCode::PlatformUnavailable;
    // A connection that broke after the answer had begun leaves the outcome unknown as well.
    if (error.verdict == core::Verdict::Ran)
        error.verdict = core::Verdict::MayHaveRun;
    return error;
}

} // namespace boragerack::platform
