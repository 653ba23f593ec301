#include "Store.hh"

#include <chrono>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::size_t kPageSize = 500;
constexpr std::size_t kMaxHistory = 20000;

} // namespace

Store::Store()
    : server_(0, [this](Connection &connection) { serve(connection); })
{
}

std::uint64_t Store::put(const std::string &kind, const std::string &name, json::value spec)
{
    const std::lock_guard lock(mutex_);
    return store({kind, name}, std::move(spec));
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    erase({kind, name});
}

json::value Store::spec(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto position = objects_.find({kind, name});
    return position == objects_.end() ? json::value() : position->second.spec;
}

std::uint64_t Store::store(const Key &key, json::value spec)
{
    const auto [position, isNew] = objects_.try_emplace(key);
    Object &object = position->second;
    if (!isNew && object.spec == spec)
        return object.revision;
    object.spec = std::move(spec);
    object.revision = ++revision_;
    if (isNew)
        object.createdRevision = revision_;
    record(key.first, render(key.second, object), false);
    return revision_;
}

void Store::erase(const Key &key)
{
    const auto position = objects_.find(key);
    if (position == objects_.end())
        return;
    Object object = std::move(position->second);
    objects_.erase(position);
    object.revision = ++revision_;
    record(key.first, render(key.second, object), true);
}

void Store::record(const std::string &kind, json::value object, bool isDeleted)
{
    history_.push_back({revision_, kind,
                        json::object {{"object", std::move(object)}, {"deleted", isDeleted}}});
    if (history_.size() > kMaxHistory)
        history_.pop_front();
    changed_.notify_all();
}

json::value Store::render(const std::string &name, const Object &object)
{
    return json::object {{"metadata", json::object {{"name", name},
                                                    {"revision", object.revision},
                                                    {"created-rev", object.createdRevision},
                                                    {"finalizers", json::array()},
                                                    {"deleting", false}}},
                         {"spec", object.spec},
                         {"status", object.status}};
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.read()) {
        const Result result = answer(*request);
        if (!connection.write(formatResponse(result.status, {{"Content-Type", "application/json"}},
                                             json::serialize(result.body))))
            return;
    }
}

Store::Result Store::answer(const Message &request)
{
    const std::string path = request.path();
    constexpr std::string_view kRoot = "/objects/";
    if (!path.starts_with(kRoot))
        return {404, json::object()};
    const std::string rest = path.substr(kRoot.size());
    const std::size_t slash = rest.find('/');
    const Key key(rest.substr(0, slash), slash == std::string::npos ? "" : rest.substr(slash + 1));
    if (request.first == "POST")
        return write(key, request, true);
    if (request.first == "PUT")
        return write(key, request, false);
    if (request.first != "GET")
        return {405, json::object()};
    if (const std::string revision = request.query("watch"); !revision.empty())
        return watch(key.first, std::stoull(revision), std::atoll(request.query("wait-ms").c_str()));
    if (key.second.empty())
        return list(key.first, request.query("after"));
    const std::lock_guard lock(mutex_);
    const auto position = objects_.find(key);
    if (position == objects_.end())
        return {404, json::object()};
    return {200, render(key.second, position->second)};
}

Store::Result Store::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard lock(mutex_);
    json::array items;
    bool isTruncated = false;
    for (const auto &[key, object] : objects_) {
        if (key.first != kind || (!after.empty() && key.second <= after))
            continue;
        isTruncated = items.size() >= kPageSize;
        if (isTruncated)
            break;
        items.push_back(render(key.second, object));
    }
    return {200, json::object {{"items", std::move(items)},
                               {"truncated", isTruncated},
                               {"store-revision", revision_}}};
}

Store::Result Store::watch(const std::string &kind, std::uint64_t revision, std::int64_t waitMs)
{
    std::unique_lock lock(mutex_);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    while (true) {
        if (!history_.empty() && revision + 1 < history_.front().revision
            && history_.size() >= kMaxHistory)
            return {410, json::object()};
        json::array events;
        for (auto change = history_.rbegin();
             change != history_.rend() && change->revision > revision; ++change) {
            if (change->kind == kind)
                events.insert(events.begin(), change->event);
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until)
            return {200, json::object {{"events", std::move(events)},
                                       {"store-revision", revision_}}};
        changed_.wait_until(lock, until);
    }
}

Store::Result Store::write(const Key &key, const Message &request, bool isCreation)
{
    boost::system::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object() || !body.as_object().contains("metadata"))
        return {400, json::object()};
    const json::object &metadata = body.at("metadata").as_object();
    const std::string name(metadata.at("name").as_string());
    const std::lock_guard lock(mutex_);
    const auto position = objects_.find({key.first, name});
    const bool exists = position != objects_.end();
    if (isCreation && exists)
        return {409, render(name, position->second)};
    if (!isCreation && !exists)
        return {404, json::object()};
    if (const json::value *revision = metadata.if_contains("revision");
        exists && revision && revision->to_number<std::uint64_t>() != position->second.revision)
        return {409, render(name, position->second)};
    store({key.first, name}, body.at("spec"));
    return {isCreation ? 201 : 200, render(name, objects_.at({key.first, name}))};
}

} // namespace review
