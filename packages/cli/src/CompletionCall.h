#pragma once

#include <memory>
#include <string>

#include "CompletionStream.h"
#include "LoadTestReport.h"
#include "boragerack/core/Clock.h"
#include "boragerack/runtime/HttpExchange.h"

namespace boragerack::runtime {
class HttpClient;
} // namespace boragerack::runtime

namespace boragerack::cli {

class AddressTask;

/// Parameters of one completion request.
struct CompletionParameters
{
    Arrival arrival;
    core::TimePoint start; ///< Start of the run.
    std::chrono::milliseconds timeout = {};
    std::string key;
    std::string body;
};

/// Sends one streamed completion request as a caller does. Each call runs on its own fiber.
class CompletionCall
{
public:
    CompletionCall(runtime::HttpClient &client, AddressTask &addresses,
                   const CompletionParameters &parameters);

    /// Returns at most 1 s after the scheduled time plus the request timeout.
    RequestRecord run();

private:
    enum class AddressAttemptResult { Ended, TryAnotherAddress };

    AddressAttemptResult tryAddress(const std::string &address);
    void receive(runtime::HttpExchange &exchange);
    void processChunk(const std::string &data);
    void finish();
    void finishWithError(const core::Error &error);
    void end(RequestResult result, const std::string &code, const std::string &verdict);
    std::chrono::microseconds sinceStart() const;

    runtime::HttpClient &client_;
    AddressTask &addresses_;
    const CompletionParameters &parameters_;
    core::TimePoint deadline_;
    RequestRecord record_;
    unsigned status_ = 0;
    CompletionStream stream_;
    std::string errorBody_;
    std::chrono::microseconds lastTokenAt_ = {};
    bool hasEnded_ = false;
    bool mayTryAnotherAddress_ = false;
};

} // namespace boragerack::cli
