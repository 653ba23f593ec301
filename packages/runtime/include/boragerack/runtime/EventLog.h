#pragma once

#include <string_view>

#include "boragerack/runtime/LogEvent.h"

namespace boragerack::runtime {

/// Sends log lines to standard error; instances have no disks. Call once at the start.
void initializeLog(const char *programName);

/// Writes one line "[BR<number>] <summary>: <details>" with the severity of the catalogue.
void logEvent(LogEvent event, std::string_view details);

} // namespace boragerack::runtime
