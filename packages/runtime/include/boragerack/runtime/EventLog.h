#pragma once

#include <string_view>

#include "boragerack/runtime/LogEvent.h"

namespace boragerack::runtime {

enum class LogStream {
    StandardError, ///< For programs that print their results to standard output.
    StandardOutput, ///< Never blocks; lines are lost if the reader is too slow.
};

/// Initialises logging to a stream, because instances have no disks. Call once at start-up.
void initializeLog(const char *programName, LogStream stream = LogStream::StandardError);

/// Writes one line "[BR<number>] <summary>: <details>" with the severity of the event.
void logEvent(LogEvent event, std::string_view details);

/// Like logEvent, for events whose number grows with the number of requests. Lines over a rate
/// limit are dropped, and the number of dropped lines is logged.
void logRequestEvent(LogEvent event, std::string_view details);

} // namespace boragerack::runtime
