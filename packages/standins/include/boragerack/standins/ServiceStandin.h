#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::standins {

/// Stand-in for a plain service: counts the executions of each request body, which GET
/// /control/executions returns. POST /control/faults {"cutAfterRun","delayMs"} makes it execute
/// and close the connection without an answer, or answer late.
class ServiceStandin final : public runtime::HttpHandler
{
public:
    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

private:
    std::map<std::string, std::int64_t> executions_;
    std::vector<std::string> headers_;
    bool cutAfterRun_ = false;
    std::chrono::milliseconds delay_ = std::chrono::milliseconds(0);
};

} // namespace boragerack::standins
