// Stand-in for a replica. It registers itself in the store, answers 421 to requests for another
// instance or for a model that it does not hold, runs each request for a set time and records what
// it ran. A replica with models answers with a stream, reports what it holds and takes orders.
#pragma once

#include "Store.hh"

namespace review {

/// A request that a replica began to run.
struct Run
{
    std::string id;
    std::string replica;
    std::int64_t arrivedMs = 0;
};

/// What all replicas have run; shared by their threads.
class RunLog
{
public:
    void add(Run run);
    std::vector<Run> runs() const;

private:
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
};

class Replica
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone = "z-a";
        std::string ip;
        std::int64_t workMs = 20;
        std::int64_t heartbeatMs = 1200;
        std::int64_t slots = 6;
        /// Models that an engine holds at its start; without any, the replica is a plain service.
        std::set<std::string> models = {};
        std::int64_t loadMs = 600;
    };

    Replica(Options options, Store &store, RunLog &log);
    ~Replica();

    const std::string &id() const { return options_.id; }
    /// Removes the entry from the store without an announcement, and serves on. Returns the time at
    /// which the store had accepted it.
    std::int64_t leaveUnannounced();
    /// Ends the process: the listener and all connections close.
    void exit();

private:
    bool handle(const Request &request, Connection &connection);
    void beat();
    bool holds(const std::string &model);
    bool report(Connection &connection);
    bool order(const Request &request, Connection &connection);
    bool stream(const std::string &attempt, Connection &connection);
    std::string modelsJson();

    Options options_;
    Store &store_;
    RunLog &log_;
    std::int64_t born_;
    std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    std::uint64_t orders_ = 0;
    std::int64_t busyUntilMs_ = 0;
    bool isListed_ = true;
    std::atomic<bool> isStopped_ = false;
    std::unique_ptr<Server> server_;
    std::thread beats_;
};

} // namespace review
