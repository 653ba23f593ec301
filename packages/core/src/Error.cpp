#include "boragerack/core/Error.h"

#include <utility>

namespace boragerack::core {

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidRequest:
        return "invalid_request";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::NotPermitted:
        return "not_permitted";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::RateLimited:
        return "rate_limited";
    case ErrorCode::QueueFull:
        return "queue_full";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::NoReadyReplica:
        return "no_ready_replica";
    case ErrorCode::Quarantined:
        return "quarantined";
    case ErrorCode::Draining:
        return "draining";
    case ErrorCode::Isolated:
        return "isolated";
    case ErrorCode::PlatformUnavailable:
        return "platform_unavailable";
    case ErrorCode::TargetFailed:
        return "target_failed";
    case ErrorCode::DuplicateRequest:
        return "duplicate_request";
    case ErrorCode::ConnectionFailed:
        return "connection_failed";
    case ErrorCode::ProtocolViolation:
        return "protocol_violation";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

Error makeNotRunError(ErrorCode code, std::string message, std::chrono::milliseconds retryAfter)
{
    return Error {code, Verdict::NotRun, std::move(message), retryAfter};
}

} // namespace boragerack::core
