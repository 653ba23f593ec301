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

/// What a request needs besides its arrival.
struct CompletionParameters
{
    Arrival arrival;
    core::TimePoint start; ///< Start of the run.
    std::chrono::milliseconds timeout = {};
    std::string key;
    std::string body;
};

/// One streamed completion as a caller makes it; runs on a fiber of its own.
class CompletionCall
{
public:
    CompletionCall(runtime::HttpClient &client, AddressTask &addresses,
                   const CompletionParameters &job);

    /// Ends within the timeout of the job plus a second.
    RequestRecord run();

private:
    enum class AddressAttemptResult { Ended, TryAnotherAddress };

    AddressAttemptResult tryAddress(const std::string &address);
    void receive(runtime::HttpExchange &exchange);
    void processChunk(const std::string &data);
    void finish();
    void finishWithError(const core::Error &error);
    void end(RequestResult end, const std::string &code, const std::string &verdict);
    std::chrono::microseconds sinceStart() const;

    runtime::HttpClient &client_;
    AddressTask &addresses_;
    const CompletionParameters &job_;
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
