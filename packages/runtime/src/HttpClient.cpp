#include "boragerack/runtime/HttpClient.h"

#include <utility>

#include "ConnectionPool.h"
#include "ExchangeGroup.h"
#include "ExchangeState.h"
#include "boragerack/runtime/ByteBudget.h"
#include "boragerack/runtime/ByteReservation.h"
#include "boragerack/runtime/HttpExchange.h"

namespace boragerack::runtime {

HttpClient::HttpClient(boost::asio::io_context &ioContext, const HttpClientOptions &options,
                       std::shared_ptr<ByteBudget> buffers)
    : options_(options)
    , buffers_(buffers ? std::move(buffers) : std::make_shared<ByteBudget>())
    , pool_(std::make_shared<Pool>(ioContext, options.maxIdleConnectionsPerAddress))
    , exchanges_(std::make_unique<ExchangeGroup>())
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpExchange> HttpClient::open(const std::string &address, ConnectionUse use)
{
    auto state = std::make_shared<HttpExchange::State>(pool_, options_, address, use);
    exchanges_->start(state);
    return std::make_unique<HttpExchange>(std::move(state));
}

core::Result<HttpResponse> HttpClient::call(const std::string &address, HttpRequest request,
                                            core::TimePoint deadline, ConnectionUse use)
{
    const auto exchange = open(address, use);
    exchange->send(std::move(request));
    HttpResponse response;
    ByteReservation reservation(buffers_);
    while (const auto event = exchange->receiveUntil(deadline)) {
        if (const auto *head = std::get_if<HttpResponseHead>(&*event)) {
            response.status = head->status;
            response.headers = head->headers;
        } else if (const auto *part = std::get_if<HttpBodyPart>(&*event)) {
            if (!reservation.resize(response.body.size() + part->data.size())) {
                return core::Error {core::ErrorCode::TooLarge, exchange->verdict(),
                                    address + ": no memory left for the response",
                                    std::chrono::milliseconds(0)};
            }
            response.body += part->data;
        } else if (const auto *error = std::get_if<core::Error>(&*event)) {
            return *error;
        } else if (std::holds_alternative<HttpCompleted>(*event)) {
            return response;
        }
    }
    return core::Error {core::ErrorCode::DeadlineExceeded, exchange->verdict(),
                        address + ": no complete response before the deadline",
                        std::chrono::milliseconds(0)};
}

void HttpClient::dropIdleConnections(const std::string &address)
{
    pool_->drop(address);
}

} // namespace boragerack::runtime
