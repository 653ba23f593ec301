#include "CompletionCall.h"

#include <optional>

#include "AddressTask.h"
#include "boragerack/runtime/HttpClient.h"

namespace boragerack::cli {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr int kMaxAddresses = 3;
constexpr std::size_t kMaxErrorBytes = 64 * 1024;
/// Time after the request timeout for the node's own time-out response to arrive.
constexpr std::chrono::milliseconds kResponseMargin(1000);

} // namespace

CompletionCall::CompletionCall(runtime::HttpClient &client, AddressTask &addresses,
                               const CompletionParameters &parameters)
    : client_(client)
    , addresses_(addresses)
    , parameters_(parameters)
    , deadline_(parameters.start + parameters.arrival.offset + parameters.timeout + kResponseMargin)
{
    record_.arrival = parameters.arrival;
}

RequestRecord CompletionCall::run()
{
    std::optional<std::string> failed;
    for (int i = 0; i < kMaxAddresses; ++i) {
        const auto address = addresses_.choose(failed, deadline_);
        if (!core::isOk(address)) {
            end(RequestResult::NotSent, "no_address", "not_run");
            return record_;
        }
        if (tryAddress(core::valueOf(address)) == AddressAttemptResult::Ended)
            return record_;
        ++record_.failedConnections;
        failed = core::valueOf(address);
    }
    return record_;
}

CompletionCall::AddressAttemptResult CompletionCall::tryAddress(const std::string &address)
{
    hasEnded_ = false;
    mayTryAnotherAddress_ = false;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline_ - kResponseMargin - std::chrono::steady_clock::now());
    if (remaining.count() < 1) {
        end(RequestResult::NotSent, "generator_late", "not_run");
        return AddressAttemptResult::Ended;
    }
    const auto exchange = client_.open(address);
    exchange->send({"POST",
                    "/v1/completions",
                    {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + parameters_.key},
                     {"X-Request-Timeout-Ms", std::to_string(remaining.count())}},
                    parameters_.body});
    receive(*exchange);
    return mayTryAnotherAddress_ ? AddressAttemptResult::TryAnotherAddress
                                 : AddressAttemptResult::Ended;
}

void CompletionCall::receive(runtime::HttpExchange &exchange)
{
    while (!hasEnded_) {
        const auto event = exchange.receiveUntil(deadline_);
        if (!event) {
            const core::Verdict verdict = exchange.verdict();
            exchange.cancel();
            end(RequestResult::Failed, "no_answer_in_time",
                std::string(core::verdictName(verdict)));
        } else if (const auto *head = std::get_if<runtime::HttpResponseHead>(&*event)) {
            status_ = head->status;
        } else if (const auto *part = std::get_if<runtime::HttpBodyPart>(&*event)) {
            processChunk(part->data);
        } else if (std::holds_alternative<runtime::HttpCompleted>(*event)) {
            finish();
        } else if (const auto *error = std::get_if<core::Error>(&*event)) {
            finishWithError(*error);
        }
    }
}

void CompletionCall::processChunk(const std::string &data)
{
    if (status_ != kStatusOk) {
        if (errorBody_.size() < kMaxErrorBytes)
            errorBody_ += data;
        return;
    }
    const std::size_t tokens = stream_.add(data);
    const auto now = sinceStart();
    for (std::size_t i = 0; i < tokens; ++i) {
        if (!record_.firstTokenAt)
            record_.firstTokenAt = now;
        else
            record_.tokenGaps.push_back(now - lastTokenAt_);
        lastTokenAt_ = now;
    }
}

void CompletionCall::finish()
{
    if (status_ != kStatusOk) {
        const auto response = parseErrorResponse(errorBody_);
        end(RequestResult::Refused, response ? response->code : "status_" + std::to_string(status_),
            response ? response->verdict : "may_have_run");
    } else if (const auto &streamError = stream_.errorResponse()) {
        end(RequestResult::Failed, streamError->code, streamError->verdict);
    } else if (!stream_.isDone()) {
        end(RequestResult::Failed, "incomplete_stream", "may_have_run");
    } else {
        end(RequestResult::Completed, {}, {});
    }
}

void CompletionCall::finishWithError(const core::Error &error)
{
    // A node that aborts a stream sends the reason as its last event.
    if (const auto &streamError = stream_.errorResponse()) {
        end(RequestResult::Failed, streamError->code, streamError->verdict);
        return;
    }
    mayTryAnotherAddress_ = error.verdict == core::Verdict::NotRun;
    end(RequestResult::Failed, std::string(core::errorCodeName(error.code)),
        std::string(core::verdictName(error.verdict)));
}

void CompletionCall::end(RequestResult result, const std::string &code, const std::string &verdict)
{
    record_.result = result;
    record_.code = code;
    record_.verdict = verdict;
    record_.endedAt = sinceStart();
    hasEnded_ = true;
}

std::chrono::microseconds CompletionCall::sinceStart() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now()
                                                                 - parameters_.start);
}

} // namespace boragerack::cli
