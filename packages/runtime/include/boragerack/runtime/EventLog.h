#pragma once

#include <string_view>

#include "boragerack/runtime/LogEvent.h"

namespace boragerack::runtime {

/// Sends log lines to standard output; instances have no disks. Call once at the start.
void initializeLog(const char *programName);

/// Writes one line "[BR<number>] <summary>: <details>" with the severity of the catalogue.
void logEvent(LogEvent event, std::string_view details);

/// As logEvent, for lines whose number grows with the requests. Beyond a bound they are dropped,
/// and their number is logged.
void logRequestEvent(LogEvent event, std::string_view details);

} // namespace boragerack::runtime
