#include "boragerack/standins/ServiceStandin.h"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/standins/JsonHttp.h"

namespace boragerack::standins {

namespace json = boost::json;

void ServiceStandin::handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder)
{
    if (request.target == "/control/executions") {
        json::object counts;
        for (const auto &[body, count] : executions_)
            counts[body] = count;
        json::array headers;
        for (const std::string &header : headers_)
            headers.push_back(json::value(header));
        responder.send(
            makeJsonResponse(200, json::object {{"executions", counts}, {"headers", headers}}));
        return;
    }
    if (request.target == "/control/faults") {
        const json::value body = parseJsonBody(request);
        rateLimit_ = integerOr(body, "rateLimit", rateLimit_);
        closesAfterExecution_ = flagOr(body, "cutAfterRun", closesAfterExecution_);
        delay_ = std::chrono::milliseconds(integerOr(body, "delayMs", delay_.count()));
        responder.send(makeJsonResponse(200, json::object()));
        return;
    }
    for (const auto &header : request.headers)
        headers_.push_back(header.name + ": " + header.value);
    const std::int64_t count = ++executions_[request.body];
    if (delay_.count() > 0)
        boost::this_fiber::sleep_for(delay_);
    if (closesAfterExecution_) {
        responder.abortConnection();
        return;
    }
    runtime::HttpResponse response = makeJsonResponse(200,
                                                      json::object {{"method", request.method},
                                                                    {"target", request.target},
                                                                    {"body", request.body},
                                                                    {"execution", count}});
    if (rateLimit_ > 0)
        response.headers.push_back({"X-Rate-Limit", std::to_string(rateLimit_)});
    responder.send(response);
}

} // namespace boragerack::standins
