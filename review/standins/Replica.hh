// Stand-in for a replica of a service: registers itself in the store, and runs requests.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include <boost/json/object.hpp>

#include "Deployment.hh"
#include "Http.hh"
#include "Store.hh"

namespace review {

class Replica
{
public:
    /// Serves one request for a route; returns false to close the connection.
    using Run = std::function<bool(Connection &, const Request &)>;
    /// Fields that are added to the replica's entry in the store, and its answers to other calls.
    struct Engine
    {
        std::function<boost::json::object()> describe;
        /// Answers GET /report and POST /order.
        std::function<std::string(const Request &)> answer;
    };

    Replica(Store &store, std::string id, std::string service, unsigned slots, Run run,
            Engine engine = {});
    ~Replica();

    const std::string &id() const { return id_; }
    const std::string &address() const { return server_.address(); }
    /// Unix time of the start in milliseconds.
    std::uint64_t startedAt() const { return startedAt_; }
    /// Writes the entry in the store at once instead of with the next heartbeat.
    void beat();

private:
    void serve(Connection &connection);
    void sendHeartbeats();

    Store &store_;
    std::string id_;
    std::string service_;
    unsigned slots_;
    Run run_;
    Engine engine_;
    std::uint64_t startedAt_;
    std::mutex mutex_;
    std::condition_variable stopped_;
    bool isStopping_ = false;
    std::uint64_t heartbeats_ = 0;
    Server server_;
    std::thread heartbeatThread_;
};

/// Headers of an answer to the request that the replica has run.
Headers answerHeaders(const Replica &replica, const Request &request);
/// Headers of a refusal of the request, which was not run.
Headers refusalHeaders(const Request &request);

/// Fields of a route in the configuration; `kind` is safe, unsafe or streaming.
struct Route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    unsigned timeoutMs = 1500;
    unsigned maxAttempts = 1;
};

inline const std::string kHost = "desk.example";
inline const std::string kKey = "key-of-the-tenant";

/// A configuration with one tenant, which has the key kKey and a rate that is not reached unless
/// given.
boost::json::object makeConfiguration(const std::vector<Route> &routes,
                                      const boost::json::array &services,
                                      unsigned ratePerSecond = 1000000, unsigned burst = 1000000);
/// A service without an engine.
boost::json::object plainService(const std::string &name);

/// A client's request.
std::string clientRequest(const std::string &method, const std::string &path,
                          const std::string &attempt, unsigned deadlineMs,
                          const Headers &headers = {}, const std::string &body = "");

} // namespace review
