#include "Replica.hh"

#include <boost/json/array.hpp>

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
                             {"models", json::array()},
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
    if (request.target == "/healthz")
        return connection.write(formatResponse(200, {{"X-Replica-Id", options_.id}}, "ok"));
    log_.add({attempt, options_.id, nowMs()});
    sleepMs(options_.workMs);
    return connection.write(formatResponse(
        200,
        {{"X-Attempt-Id", attempt}, {"X-Server-Stamp", "stamp." + options_.id + "." + attempt}},
        "done " + attempt + "\n"));
}

} // namespace review
