#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "boragerack/core/Verdict.h"

namespace boragerack::core {

/// Reason of a failure. Callers see it as the `code` of an error body.
enum class ErrorCode {
    InvalidRequest,
    Unauthenticated,
    NotPermitted,
    NotFound,
    Conflict,
    TooLarge,
    RateLimited,
    QueueFull,
    DeadlineExceeded,
    NoReadyReplica,
    Quarantined,
    Draining,
    Isolated,
    PlatformUnavailable,
    TargetFailed,
    DuplicateRequest,
    ConnectionFailed,
    ProtocolViolation,
    Internal,
};

/// Name of the code in lower case with underscores.
std::string_view errorCodeName(ErrorCode code);

/// A failure together with what is known about the request's execution.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    Verdict verdict = Verdict::NotRun;
    std::string message;
    /// Time after which a retry is worthwhile; zero when a retry does not help.
    std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0);

    friend bool operator==(const Error &, const Error &) = default;
};

/// Error whose request cannot have reached a target.
Error makeNotRunError(ErrorCode code, std::string message,
                      std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));

} // namespace boragerack::core
