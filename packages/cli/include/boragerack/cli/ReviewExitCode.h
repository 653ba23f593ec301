#pragma once

namespace boragerack::cli {

/// Exit codes of `boragerack review`. They differ from ExitCode, where 1 is a failed check and 2 a
/// usage error: scripts must tell warnings, errors and unreadable input apart. ExitCode's
/// PlatformUnreachable applies to `review` as well.
enum ReviewExitCode {
    ReviewClean = 0,
    ReviewWarnings = 1,
    ReviewErrors = 2,
    ReviewUnreadable = 3, ///< Unreadable input or invalid arguments.
};

} // namespace boragerack::cli
