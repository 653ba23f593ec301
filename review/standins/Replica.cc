#include "Replica.hh"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr Milliseconds kHeartbeatInterval(1200);

std::uint64_t unixTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

} // namespace

Replica::Replica(Store &store, std::string id, std::string service, unsigned slots, Run run,
                 Engine engine)
    : store_(store)
    , id_(std::move(id))
    , service_(std::move(service))
    , slots_(slots)
    , run_(std::move(run))
    , engine_(std::move(engine))
    , startedAt_(unixTime())
    , server_([this](Connection &connection) { serve(connection); })
{
    beat();
    heartbeatThread_ = std::thread([this] { sendHeartbeats(); });
}

Replica::~Replica()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    stopped_.notify_all();
    heartbeatThread_.join();
}

void Replica::beat()
{
    json::object entry {{"service", service_}, {"address", address()},  {"zone", "zone-a"},
                        {"version", "v1"},     {"slots", slots_},       {"state", "ready"},
                        {"born", startedAt()}, {"cold-remaining-ms", 0}};
    if (engine_.describe) {
        for (const auto &[name, value] : engine_.describe())
            entry[name] = value;
    }
    const std::lock_guard lock(mutex_);
    entry["sequence"] = ++heartbeats_;
    store_.put("servers", id_, std::move(entry));
}

void Replica::sendHeartbeats()
{
    while (true) {
        {
            std::unique_lock lock(mutex_);
            if (stopped_.wait_for(lock, kHeartbeatInterval, [this] { return isStopping_; }))
                return;
        }
        beat();
    }
}

void Replica::serve(Connection &connection)
{
    while (const auto request = connection.readRequest()) {
        const std::string expected = header(request->headers, "X-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            if (!connection.send(render(421, {{"X-Replica-Id", id_}}, "")))
                return;
        } else if (request->target == "/report" || request->target == "/order") {
            if (!engine_.answer || !connection.send(engine_.answer(*request)))
                return;
        } else if (request->target == "/healthz") {
            if (!connection.send(render(200, {{"X-Replica-Id", id_}}, "")))
                return;
        } else if (!run_(connection, *request)) {
            return;
        }
    }
}

Headers answerHeaders(const Replica &replica, const Request &request)
{
    const std::string attempt = header(request.headers, "X-Attempt-Id");
    return {{"X-Attempt-Id", attempt}, {"X-Server-Stamp", replica.id() + "." + attempt}};
}

Headers refusalHeaders(const Request &request)
{
    return {{"X-Attempt-Id", header(request.headers, "X-Attempt-Id")}, {"X-Not-Executed", "1"}};
}

json::object makeConfiguration(const std::vector<Route> &routes, const json::array &services,
                               unsigned ratePerSecond, unsigned burst)
{
    json::array routeList;
    for (const Route &route : routes) {
        const bool isStream = route.kind == "streaming";
        routeList.push_back(json::object {{"name", route.name},
                                          {"host", kHost},
                                          {"path-prefix", route.prefix},
                                          {"kind", route.kind},
                                          {"timeout-ms", route.timeoutMs},
                                          {"target-latency-ms", route.timeoutMs},
                                          {"priority", 0},
                                          {"service", route.service},
                                          {"max-attempts", route.maxAttempts},
                                          {"public", false},
                                          {"sticky", isStream},
                                          {"resumable", false}});
    }
    return {{"version", 1},
            {"routes", routeList},
            {"services", services},
            {"limits",
             json::object {{"max-header-bytes", 16384},
                           {"max-body-bytes", 4194304},
                           {"header-timeout-ms", 3000},
                           {"idle-timeout-ms", 15000}}},
            {"tenants",
             json::array {json::object {{"name", "tenant"},
                                        {"api-keys", json::array {kKey}},
                                        {"priority", 1},
                                        {"unit", "tokens"},
                                        {"plain-tokens", 200},
                                        {"rate-per-s", ratePerSecond},
                                        {"burst", burst}}}}};
}

json::object plainService(const std::string &name)
{
    return {{"name", name},
            {"health-path", "/healthz"},
            {"max-connections", 100},
            {"protocol", "h1"},
            {"tls", false}};
}

std::string clientRequest(const std::string &method, const std::string &path,
                          const std::string &attempt, unsigned deadlineMs, const Headers &headers,
                          const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + kHost
        + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Token " + kKey + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace review
