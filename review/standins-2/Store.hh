// Stand-in for the platform's metadata store: objects by kind and name with one revision counter,
// conditional writes, lists and watches. It is sound: disruptions are set from outside.
#pragma once

#include <condition_variable>
#include <deque>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "Net.hh"

namespace review {

class Store
{
public:
    explicit Store(const std::string &ip);
    ~Store();

    std::string address() const { return server_->address(); }
    /// Writes or removes an object as the operator or a server would. Returns when the store has
    /// accepted it, which is the acknowledgement.
    void put(const std::string &kind, const std::string &name, boost::json::value spec);
    void remove(const std::string &kind, const std::string &name);
    /// The spec of an object; null if there is none.
    boost::json::value get(const std::string &kind, const std::string &name);
    /// Refuses all calls with 503 while set.
    void setDown(bool isDown) { isDown_ = isDown; }

private:
    using Key = std::pair<std::string, std::string>;
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t createdRevision = 0;
        boost::json::value spec;
        boost::json::value status;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string event;
    };

    bool handle(const Request &request, Connection &connection);
    std::string answer(const Request &request);
    std::string list(const std::string &kind, const std::string &after);
    std::string watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs);
    std::string change(const Request &request, const std::string &kind, std::string name,
                       const std::string &revisionInQuery);
    boost::json::object render(const std::string &name, const Object &object) const;
    void write(const Key &key, boost::json::value spec);
    void erase(const Key &key);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Object> objects_;
    std::deque<Change> history_;
    std::uint64_t revision_ = 100;
    std::atomic<bool> isDown_ = false;
    std::atomic<bool> isStopped_ = false;
    std::unique_ptr<Server> server_;
};

} // namespace review
