// Stand-in for the platform's metadata store, based on its published protocol.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "Http.hh"

namespace review {

class Store
{
public:
    Store();
    ~Store();

    const std::string &address() const { return server_.address(); }
    void put(const std::string &kind, const std::string &name, boost::json::value spec);
    void remove(const std::string &kind, const std::string &name);
    /// The spec of an object; null if there is none.
    boost::json::value get(const std::string &kind, const std::string &name);

private:
    using Key = std::pair<std::string, std::string>;
    struct Object
    {
        std::uint64_t revision = 0;
        boost::json::value spec;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        boost::json::value event;
    };

    void serve(Connection &connection);
    std::string answer(const Request &request);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, const std::string &query);
    std::string write(const Key &key, const Request &request);
    void store(const Key &key, boost::json::value spec);
    static boost::json::object render(const std::string &name, const Object &object);

    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopping_ = false;
    std::uint64_t revision_ = 1;
    std::map<Key, Object> objects_;
    std::vector<Change> history_;
    Server server_;
};

} // namespace review
