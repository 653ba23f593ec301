#include "Replica.hh"

#include <chrono>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::int64_t kHeartbeatMs = 1200;
constexpr int kEvents = 3;

json::array modelList(const std::string &model)
{
    return {json::object {{"name", model}, {"version", 1}, {"adapters", json::array()}}};
}

} // namespace

Replica::Replica(Store &store, Options options)
    : store_(store)
    , options_(std::move(options))
    , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())
    , server_(0, [this](Connection &connection) { serve(connection); })
    , heartbeat_([this] { beat(); })
{
}

Replica::~Replica()
{
    isStopping_ = true;
    heartbeat_.join();
}

std::vector<Replica::Run> Replica::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

void Replica::beat()
{
    for (std::uint64_t sequence = 1; !isStopping_; ++sequence) {
        store_.put("servers", options_.id,
                   json::object {{"service", options_.service},
                                 {"address", "127.0.0.1:" + std::to_string(server_.port())},
                                 {"zone", "zone-a"},
                                 {"version", "v1"},
                                 {"slots", options_.slots},
                                 {"state", "ready"},
                                 {"cold-remaining-ms", 0},
                                 {"stage", "unified"},
                                 {"models", modelList(options_.model)},
                                 {"at-hand", json::object {{"in-memory", json::array()},
                                                           {"on-disk", json::array()}}},
                                 {"born", born_},
                                 {"sequence", sequence}});
        for (std::int64_t i = 0; i < kHeartbeatMs / 50 && !isStopping_; ++i)
            sleepMs(50);
    }
}

void Replica::serve(Connection &connection)
{
    while (const auto request = connection.read()) {
        const std::string expected = request->header("X-Expect-Instance");
        const Headers refusal {{"X-Attempt-Id", request->header("X-Attempt-Id")},
                               {"X-Not-Executed", "1"}};
        bool isOpen = true;
        if (!expected.empty() && expected != options_.id) {
            isOpen = connection.write(formatResponse(421, refusal, ""));
        } else if (request->path() == "/report") {
            const json::object body {{"stage", "unified"},
                                     {"models", modelList(options_.model)},
                                     {"busy", false},
                                     {"sequence", 0},
                                     {"queued", 0},
                                     {"running", running_.load()},
                                     {"kv-used", 0},
                                     {"kv-total", 250000},
                                     {"handles", 0},
                                     {"born", born_},
                                     {"coming", json::array()}};
            isOpen = connection.write(formatResponse(200, {}, json::serialize(body)));
        } else if (request->path() == "/order") {
            // No order fits: the replica has no memory for another model.
            isOpen = connection.write(formatResponse(409, {}, ""));
        } else if (running_ >= options_.slots) {
            isOpen = connection.write(formatResponse(503, refusal, ""));
        } else {
            ++running_;
            isOpen = run(connection, *request);
            --running_;
        }
        if (!isOpen)
            return;
    }
}

bool Replica::run(Connection &connection, const Message &request)
{
    {
        const std::lock_guard lock(mutex_);
        runs_.push_back({request.header("X-Attempt-Id"), request.header("X-Tenant"), nowMs()});
    }
    std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
        + "\r\nX-Server-Stamp: " + options_.id
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!connection.write(head))
        return false;
    for (int event = 1; event <= kEvents; ++event) {
        sleepMs(options_.workMs / kEvents);
        // The run ends with its connection.
        if (connection.isPeerGone())
            return false;
        const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (!connection.write(size + text + "\r\n"))
            return false;
    }
    return connection.write("0\r\n\r\n");
}

} // namespace review
