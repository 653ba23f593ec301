#include "Store.hh"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace review {

namespace json = boost::json;

namespace {

std::string respond(int status, const json::value &body = json::object())
{
    return render(status, {{"Content-Type", "application/json"}}, json::serialize(body));
}

std::uint64_t numberIn(const std::string &query, const std::string &name)
{
    const std::size_t start = query.find(name + "=");
    return start == std::string::npos ? 0 : std::stoull(query.substr(start + name.size() + 1));
}

} // namespace

Store::Store()
    : server_([this](Connection &connection) { serve(connection); })
{
}

Store::~Store()
{
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
    changed_.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, json::value spec)
{
    const std::lock_guard lock(mutex_);
    store({kind, name}, std::move(spec));
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto position = objects_.find({kind, name});
    if (position == objects_.end())
        return;
    history_.push_back(
        {++revision_, kind,
         json::object {{"deleted", true}, {"object", render(name, position->second)}}});
    objects_.erase(position);
    changed_.notify_all();
}

json::value Store::get(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto position = objects_.find({kind, name});
    return position == objects_.end() ? json::value() : position->second.spec;
}

void Store::store(const Key &key, json::value spec)
{
    Object &object = objects_[key];
    if (object.revision != 0 && object.spec == spec)
        return;
    object = {++revision_, std::move(spec)};
    history_.push_back({revision_, key.first,
                        json::object {{"deleted", false}, {"object", render(key.second, object)}}});
    changed_.notify_all();
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.readRequest()) {
        if (!connection.send(answer(*request)))
            return;
    }
}

std::string Store::answer(const Request &request)
{
    const std::string prefix = "/objects/";
    if (!request.target.starts_with(prefix))
        return respond(404);
    const std::size_t question = request.target.find('?');
    const std::string path = request.target.substr(prefix.size(), question - prefix.size());
    const std::string query =
        question == std::string::npos ? "" : request.target.substr(question + 1);
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    if (request.method == "GET" && slash == std::string::npos)
        return query.starts_with("watch=") ? watch(kind, query) : list(kind);
    const std::lock_guard lock(mutex_);
    if (request.method == "POST") {
        const json::value body = json::parse(request.body);
        return write({kind, json::value_to<std::string>(body.at("metadata").at("name"))}, request);
    }
    const Key key(kind, path.substr(slash + 1));
    if (request.method == "PUT")
        return write(key, request);
    const auto position = objects_.find(key);
    return position == objects_.end() ? respond(404)
                                      : respond(200, render(key.second, position->second));
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    json::array items;
    for (const auto &[key, object] : objects_) {
        if (key.first == kind)
            items.push_back(render(key.second, object));
    }
    return respond(
        200, json::object {{"items", items}, {"truncated", false}, {"store-revision", revision_}});
}

std::string Store::watch(const std::string &kind, const std::string &query)
{
    const std::uint64_t after = numberIn(query, "watch");
    const auto end = SteadyClock::now() + Milliseconds(numberIn(query, "wait-ms"));
    std::unique_lock lock(mutex_);
    while (true) {
        json::array events;
        for (const Change &change : history_) {
            if (change.kind == kind && change.revision > after)
                events.push_back(change.event);
        }
        if (!events.empty() || isStopping_ || SteadyClock::now() >= end)
            return respond(200, json::object {{"events", events}, {"store-revision", revision_}});
        changed_.wait_until(lock, end);
    }
}

std::string Store::write(const Key &key, const Request &request)
{
    const json::value body = json::parse(request.body);
    const auto position = objects_.find(key);
    const bool isPresent = position != objects_.end();
    if (request.method == "POST" ? isPresent : !isPresent)
        return isPresent ? respond(409, render(key.second, position->second)) : respond(404);
    const json::value *expected = body.at("metadata").as_object().if_contains("revision");
    if (expected && expected->to_number<std::uint64_t>() != position->second.revision)
        return respond(409, render(key.second, position->second));
    store(key, body.at("spec"));
    return respond(200, render(key.second, objects_.at(key)));
}

json::object Store::render(const std::string &name, const Object &object)
{
    return {{"metadata",
             json::object {{"name", name},
                           {"revision", object.revision},
                           {"created-rev", 1},
                           {"finalizers", json::array()},
                           {"deleting", false}}},
            {"spec", object.spec},
            {"status", nullptr}};
}

} // namespace review
