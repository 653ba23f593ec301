#pragma once

namespace boragerack::cli {

/// Exit codes of `boragerack`, the same for every subcommand but `review`, which has the codes of
/// ReviewExitCode (docs/operators.md).
enum ExitCode {
    Succeeded = 0,
    ConditionFailed = 1, ///< A check failed or a requested condition does not hold.
    UsageError = 2, ///< Invalid arguments, an unreadable file or invalid settings.
    PlatformUnreachable = 4, ///< The platform or all queried nodes are unreachable.
    EditConflict = 5, ///< Another writer modified the same part.
};

} // namespace boragerack::cli
