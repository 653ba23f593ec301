#include "Store.hh"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::size_t kPageItems = 500;

std::string reply(int status, const json::value &body)
{
    return formatResponse(status, {{"Content-Type", "application/json"}}, json::serialize(body));
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    if (query == std::string::npos)
        return {};
    std::size_t start = query + 1;
    while (start < target.size()) {
        const std::size_t end = std::min(target.find('&', start), target.size());
        const std::string part = target.substr(start, end - start);
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
        start = end + 1;
    }
    return {};
}

} // namespace

Store::Store(const std::string &ip)
    : server_(
        std::make_unique<Server>(ip, 0, [this](const Request &request, Connection &connection) {
            return handle(request, connection);
        }))
{
}

Store::~Store()
{
    isStopped_ = true;
    changed_.notify_all();
    server_->stop();
}

bool Store::handle(const Request &request, Connection &connection)
{
    return connection.write(answer(request));
}

std::string Store::answer(const Request &request)
{
    if (isDown_)
        return reply(503, json::object {{"error", "unavailable"}});
    const std::string path = request.target.substr(0, request.target.find('?'));
    constexpr std::string_view kPrefix = "/objects/";
    if (!path.starts_with(kPrefix))
        return reply(404, json::object {});
    const std::string rest = path.substr(kPrefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method != "GET")
        return change(request, kind, name, queryValue(request.target, "revision"));
    if (!name.empty()) {
        const std::lock_guard lock(mutex_);
        const auto position = objects_.find({kind, name});
        if (position == objects_.end())
            return reply(404, json::object {});
        return reply(200, render(name, position->second));
    }
    if (const std::string since = queryValue(request.target, "watch"); !since.empty())
        return watch(kind, std::strtoull(since.c_str(), nullptr, 10),
                     std::atoll(queryValue(request.target, "wait-ms").c_str()));
    return list(kind, queryValue(request.target, "after"));
}

json::object Store::render(const std::string &name, const Object &object) const
{
    return {{"metadata",
             json::object {{"name", name},
                           {"revision", object.revision},
                           {"created-rev", object.createdRevision},
                           {"finalizers", json::array()},
                           {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}

std::string Store::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard lock(mutex_);
    json::array items;
    bool isTruncated = false;
    for (auto position = objects_.upper_bound({kind, after});
         position != objects_.end() && position->first.first == kind; ++position) {
        if (items.size() == kPageItems) {
            isTruncated = true;
            break;
        }
        items.push_back(render(position->first.second, position->second));
    }
    return reply(200,
                 json::object {{"items", std::move(items)},
                               {"truncated", isTruncated},
                               {"store-revision", revision_}});
}

std::string Store::watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs)
{
    const std::int64_t deadline = nowMs() + waitMs;
    std::unique_lock lock(mutex_);
    while (true) {
        std::string events;
        for (auto change = history_.rbegin(); change != history_.rend() && change->revision > since;
             ++change) {
            if (change->kind == kind)
                events = change->event + (events.empty() ? "" : ",") + events;
        }
        const std::int64_t left = deadline - nowMs();
        if (!events.empty() || left <= 0 || isStopped_)
            return formatResponse(200, {{"Content-Type", "application/json"}},
                                  "{\"events\":[" + events
                                      + "],\"store-revision\":" + std::to_string(revision_) + "}");
        changed_.wait_for(lock, std::chrono::milliseconds(left));
    }
}

void Store::write(const Key &key, json::value spec)
{
    Object &object = objects_[key];
    if (object.revision != 0 && object.spec == spec)
        return;
    object.revision = ++revision_;
    if (object.createdRevision == 0)
        object.createdRevision = revision_;
    object.spec = std::move(spec);
    history_.push_back({revision_, key.first,
                        json::serialize(json::object {{"object", render(key.second, object)},
                                                      {"deleted", false}})});
    changed_.notify_all();
}

void Store::erase(const Key &key)
{
    const auto position = objects_.find(key);
    if (position == objects_.end())
        return;
    position->second.revision = ++revision_;
    history_.push_back({revision_, key.first,
                        json::serialize(json::object {
                            {"object", render(key.second, position->second)}, {"deleted", true}})});
    objects_.erase(position);
    changed_.notify_all();
}

std::string Store::change(const Request &request, const std::string &kind, std::string name,
                          const std::string &revisionInQuery)
{
    json::value body;
    const json::object *metadata = nullptr;
    if (!request.body.empty()) {
        json::error_code error;
        body = json::parse(request.body, error);
        if (!error && body.is_object() && body.as_object().contains("metadata"))
            metadata = body.at("metadata").if_object();
    }
    std::optional<std::uint64_t> expected;
    if (metadata && metadata->contains("revision"))
        expected = metadata->at("revision").to_number<std::uint64_t>();
    if (!revisionInQuery.empty())
        expected = std::strtoull(revisionInQuery.c_str(), nullptr, 10);
    if (name.empty() && metadata && metadata->contains("name"))
        name = metadata->at("name").as_string().c_str();

    const std::lock_guard lock(mutex_);
    const Key key {kind, name};
    const auto position = objects_.find(key);
    const bool isPresent = position != objects_.end();
    if (request.method == "POST") {
        if (isPresent)
            return reply(409, render(name, position->second));
    } else if (!isPresent) {
        return reply(404, json::object {});
    } else if (expected && *expected != position->second.revision) {
        return reply(409, render(name, position->second));
    }
    if (request.method == "DELETE") {
        erase(key);
        return reply(200, json::object {});
    }
    write(key,
          body.is_object() && body.as_object().contains("spec") ? body.at("spec") : json::value());
    return reply(request.method == "POST" ? 201 : 200, render(name, objects_.at(key)));
}

void Store::put(const std::string &kind, const std::string &name, json::value spec)
{
    const std::lock_guard lock(mutex_);
    write({kind, name}, std::move(spec));
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    erase({kind, name});
}

json::value Store::get(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto position = objects_.find({kind, name});
    return position == objects_.end() ? json::value() : position->second.spec;
}

} // namespace review
