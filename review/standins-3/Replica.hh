#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Http.hh"
#include "Store.hh"

namespace review {

/// Stand-in for a model replica that holds one model and gets no further ones. It registers itself
/// in the store and writes a heartbeat there.
class Replica
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string model;
        std::uint32_t slots = 64;
        std::int64_t workMs = 20;
    };
    /// A request that began to run.
    struct Run
    {
        std::string attempt;
        std::string tenant;
        std::int64_t at = 0;
    };

    Replica(Store &store, Options options);
    ~Replica();

    std::vector<Run> runs();

private:
    void serve(Connection &connection);
    bool run(Connection &connection, const Message &request);
    void beat();

    Store &store_;
    Options options_;
    std::int64_t born_;
    std::mutex mutex_;
    std::vector<Run> runs_;
    std::atomic<std::uint32_t> running_ = 0;
    std::atomic<bool> isStopping_ = false;
    Server server_;
    std::thread heartbeat_;
};

} // namespace review
