#include "Replica.hh"

#include <cstdio>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

namespace review {

namespace json = boost::json;

void RunLog::add(Run run)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
}

std::vector<Run> RunLog::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

Replica::Replica(Options options, Store &store, RunLog &log)
    : options_(std::move(options))
    , store_(store)
    , log_(log)
    , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())
    , server_(std::make_unique<Server>(options_.ip, 0,
                                       [this](const Request &request, Connection &connection) {
                                           return handle(request, connection);
                                       }))
{
    beat();
    beats_ = std::thread([this] {
        std::int64_t next = nowMs() + options_.heartbeatMs;
        while (!isStopped_) {
            sleepMs(20);
            if (nowMs() >= next) {
                next += options_.heartbeatMs;
                beat();
            }
        }
    });
}

Replica::~Replica()
{
    exit();
}

void Replica::beat()
{
    const std::lock_guard lock(mutex_);
    if (!isListed_)
        return;
    store_.put("servers", options_.id,
               json::object {{"service", options_.service},
                             {"address", server_->address()},
                             {"zone", options_.zone},
                             {"version", "v1"},
                             {"slots", options_.slots},
                             {"state", "ready"},
                             {"cold-remaining-ms", 0},
                             {"stage", "unified"},
                             {"models", json::parse(modelsJson())},
                             {"born", born_},
                             {"sequence", ++sequence_}});
}

std::int64_t Replica::leaveUnannounced()
{
    const std::lock_guard lock(mutex_);
    isListed_ = false;
    store_.remove("servers", options_.id);
    return nowMs();
}

void Replica::exit()
{
    if (isStopped_.exchange(true))
        return;
    beats_.join();
    server_->stop();
}

bool Replica::handle(const Request &request, Connection &connection)
{
    const std::string attempt = request.headers.get("X-Attempt-Id");
    const std::string expected = request.headers.get("X-Expect-Instance");
    if (!expected.empty() && expected != options_.id)
        return connection.write(formatResponse(
            421, {{"X-Attempt-Id", attempt}, {"X-Replica-Id", options_.id}}, "other instance"));
    if (request.target == "/report")
        return report(connection);
    if (request.target == "/order")
        return order(request, connection);
    if (request.target == "/healthz")
        return connection.write(formatResponse(200, {{"X-Replica-Id", options_.id}}, "ok"));
    if (!options_.models.empty() && !holds(request.headers.get("X-Model")))
        return connection.write(formatResponse(
            421, {{"X-Attempt-Id", attempt}, {"X-Replica-Id", options_.id}}, "model not present"));
    log_.add({attempt, options_.id, nowMs()});
    if (!options_.models.empty())
        return stream(attempt, connection);
    sleepMs(options_.workMs);
    return connection.write(formatResponse(
        200,
        {{"X-Attempt-Id", attempt}, {"X-Server-Stamp", "stamp." + options_.id + "." + attempt}},
        "done " + attempt + "\n"));
}

bool Replica::holds(const std::string &model)
{
    const std::lock_guard lock(mutex_);
    return options_.models.contains(model);
}

std::string Replica::modelsJson()
{
    std::string text;
    for (const std::string &model : options_.models)
        text += (text.empty() ? "" : ",") + std::string("{\"name\":\"") + model
            + "\",\"version\":1,\"adapters\":[]}";
    return "[" + text + "]";
}

bool Replica::report(Connection &connection)
{
    const std::lock_guard lock(mutex_);
    return connection.write(formatResponse(
        200, {{"Content-Type", "application/json"}},
        "{\"stage\":\"unified\",\"models\":" + modelsJson()
            + ",\"busy\":" + (nowMs() < busyUntilMs_ ? "true" : "false")
            + ",\"sequence\":" + std::to_string(orders_) + ",\"born\":" + std::to_string(born_)
            + ",\"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":200000,\"handles\":0}"));
}

bool Replica::order(const Request &request, Connection &connection)
{
    const json::value body = json::parse(request.body);
    const std::string model = body.at("model").as_string().c_str();
    const bool isLoad = body.at("operation").as_string() == "load";
    const std::lock_guard lock(mutex_);
    const auto *expected = body.as_object().if_contains("precondition");
    if (nowMs() < busyUntilMs_ || (expected && expected->to_number<std::uint64_t>() != orders_))
        return connection.write(formatResponse(409, {}, "{}"));
    if (isLoad == options_.models.contains(model))
        return connection.write(formatResponse(200, {}, "{}"));
    ++orders_;
    busyUntilMs_ = nowMs() + options_.loadMs;
    if (isLoad)
        options_.models.insert(model);
    else
        options_.models.erase(model);
    return connection.write(formatResponse(202, {}, "{}"));
}

bool Replica::stream(const std::string &attempt, Connection &connection)
{
    constexpr int kEvents = 14;
    bool isOpen = connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                                   + "\r\nX-Server-Stamp: stamp." + options_.id + "." + attempt
                                   + "\r\nContent-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n");
    for (int number = 1; isOpen && number <= kEvents; ++number) {
        sleepMs(options_.workMs / kEvents);
        const std::string event = "id: " + std::to_string(number) + "\ndata: " + attempt + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        isOpen = connection.write(size + event + "\r\n");
    }
    return isOpen && connection.write("0\r\n\r\n");
}

} // namespace review
