#pragma once

#include <string>

namespace boragerack::runtime {
class HttpHandler;
}

namespace boragerack::standins {

/// Serves the handler on the address until SIGTERM or SIGINT and prints "listening <address>".
/// Returns the exit code of the program.
int serveUntilSignal(runtime::HttpHandler &handler, const std::string &address);

} // namespace boragerack::standins
