#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "boragerack/core/Verdict.h"

namespace boragerack::core {

/// Reason for a failure; sent to callers as the `code` of an error body.
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

/// Name of the code in snake case, as sent in error bodies.
std::string_view errorCodeName(ErrorCode code);

/// A failure, and whether the request may have been executed.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    Verdict verdict = Verdict::NotRun;
    std::string message;
    /// Delay after which a retry may succeed; zero when a retry does not help.
    std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0);

    friend bool operator==(const Error &, const Error &) = default;
};

/// Makes an error for a request of which no byte can have reached a target.
Error makeNotRunError(ErrorCode code, std::string message,
                      std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));

} // namespace boragerack::core
