#pragma once

#include <string_view>

#include "boragerack/runtime/LogEvent.h"

namespace boragerack::runtime {

enum class LogStream {
    StandardError, ///< For programs that print results on standard output.
    StandardOutput, ///< Never blocks; lines that the reader has no room for are lost.
};

/// Instances have no disks, so log lines go to a stream. Call once at the start.
void initializeLog(const char *programName, LogStream stream = LogStream::StandardError);

/// Writes one line "[BR<number>] <summary>: <details>" with the severity of the catalogue.
void logEvent(LogEvent event, std::string_view details);

/// As logEvent, for lines whose number grows with the requests. Beyond a bound they are dropped,
/// and their number is logged.
void logRequestEvent(LogEvent event, std::string_view details);

} // namespace boragerack::runtime
