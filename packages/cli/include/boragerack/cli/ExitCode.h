#pragma once

namespace boragerack::cli {

/// Exit codes of `boragerack`, the same for every subcommand (docs/operators.md).
enum ExitCode {
    Succeeded = 0,
    ConditionFailed = 1, ///< A check or the condition that was asked about failed.
    UsageError = 2, ///< Wrong arguments, an unreadable file or wrong settings of the tool.
    PlatformUnreachable = 4, ///< The platform, or every node that was asked, gave no answer.
    EditConflict = 5, ///< Another writer changed the same part.
};

} // namespace boragerack::cli
