#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include <boost/json/value.hpp>

#include "Http.hh"

namespace review {

/// Stand-in for the platform's metadata store: objects by kind and name, one revision counter,
/// conditional writes and watches. It answers every call at once.
class Store
{
public:
    Store();

    std::uint16_t port() const { return server_.port(); }
    /// Writes the spec of an object, as an operator or a replica does. Returns the revision.
    std::uint64_t put(const std::string &kind, const std::string &name, boost::json::value spec);
    void remove(const std::string &kind, const std::string &name);
    /// The spec of an object; null if none exists.
    boost::json::value spec(const std::string &kind, const std::string &name);

private:
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
        boost::json::value event;
    };
    struct Result
    {
        int status = 200;
        boost::json::value body;
    };
    using Key = std::pair<std::string, std::string>;

    void serve(Connection &connection);
    Result answer(const Message &request);
    Result list(const std::string &kind, const std::string &after);
    Result watch(const std::string &kind, std::uint64_t revision, std::int64_t waitMs);
    Result write(const Key &key, const Message &request, bool isCreation);
    std::uint64_t store(const Key &key, boost::json::value spec);
    void erase(const Key &key);
    static boost::json::value render(const std::string &name, const Object &object);
    void record(const std::string &kind, boost::json::value object, bool isDeleted);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Object> objects_;
    std::deque<Change> history_;
    std::uint64_t revision_ = 100;
    Server server_;
};

} // namespace review
