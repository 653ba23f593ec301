// Stand-in for a model replica: holds models and adapters as it is ordered to, and streams answers.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "Replica.hh"

namespace review {

/// A model of the service, as the configuration describes it.
struct Model
{
    std::string name;
    double weightsMb = 0;
    unsigned adapters = 0;
};

/// What the replicas of the service hold, and how they run requests.
struct ModelService
{
    std::string name = "assessor";
    std::vector<Model> models;
    double weightsMb = 200000;
    double adapterMb = 66;
    unsigned adapterSlots = 8;
    Milliseconds loadTime = Milliseconds(840);
    Milliseconds adapterLoadTime = Milliseconds(10);
    int events = 16;
    Milliseconds eventGap = Milliseconds(500);

    boost::json::object configuration() const;
};

class ModelReplica
{
public:
    /// Holds the models with these adapters from its start, and has a copy of all on its disk.
    ModelReplica(Store &store, Record &record, ModelService service,
                 const std::map<std::string, std::set<std::string>> &held,
                 const std::string &id = "i-1");

    /// Whether it was ordered to load more than it can hold; it crashes then.
    bool isOverLimit() const { return isOverLimit_; }
    /// Runs that did not end with their last event.
    int lostRuns() const { return lostRuns_; }

private:
    struct Part
    {
        int runs = 0;
        bool isUnloading = false;
        SteadyClock::time_point readyAt = {};

        bool isReady() const { return readyAt <= SteadyClock::now(); }
    };
    /// A model, with an empty adapter, or one of its adapters.
    using Name = std::pair<std::string, std::string>;

    boost::json::array heldModels() const;
    boost::json::object describe();
    std::string answer(const Request &request);
    int order(const boost::json::object &order);
    bool isBusy() const;
    void load(const Name &name);
    int unload(const Name &name);
    void endRun(const Name &name, bool isComplete);
    bool serve(Connection &connection, const Request &request);
    bool stream(Connection &connection, const Request &request);

    Record &record_;
    const ModelService service_;
    std::mutex mutex_;
    std::map<Name, Part> parts_;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> isOverLimit_ = false;
    std::atomic<int> lostRuns_ = 0;
    std::unique_ptr<Replica> replica_;
};

} // namespace review
