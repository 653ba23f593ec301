#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::standins {

/// Stand-in for a plain service. Counts the executions of each request body; GET
/// /control/executions returns the counts and the headers received. POST /control/faults
/// {"cutAfterRun","delayMs","rateLimit"} makes it close the connection after the execution without
/// a response, delay its responses, or name the requests per second that it accepts.
class ServiceStandin final : public runtime::HttpHandler
{
public:
    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

private:
    std::map<std::string, std::int64_t> executions_;
    std::vector<std::string> headers_;
    bool closesAfterExecution_ = false;
    /// Requests per second named in each response; zero for none.
    std::int64_t rateLimit_ = 0;
    std::chrono::milliseconds delay_ = std::chrono::milliseconds(0);
};

} // namespace boragerack::standins
