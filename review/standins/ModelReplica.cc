#include "ModelReplica.hh"

#include <algorithm>
#include <sstream>
#include <thread>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

json::object ModelService::configuration() const
{
    json::array list;
    for (const Model &model : models) {
        list.push_back(json::object {{"name", model.name},
                                     {"weights-mb", model.weightsMb},
                                     {"load-time-s", 6.0},
                                     {"adapters", model.adapters},
                                     {"adapter-mb", adapterMb},
                                     {"warm-s", 0.63},
                                     {"disk-s", 0.84}});
    }
    json::object service = plainService(name);
    service["engine"] = json::object {{"slots", 64},
                                      {"kv-token-capacity", 254704},
                                      {"models", list},
                                      {"weights-mb", weightsMb},
                                      {"adapter-slots", adapterSlots},
                                      {"loads-per-s", 3.3}};
    return service;
}

ModelReplica::ModelReplica(Store &store, Record &record, ModelService service,
                           const std::map<std::string, std::set<std::string>> &held,
                           const std::string &id)
    : record_(record)
    , service_(std::move(service))
{
    for (const auto &[model, adapters] : held) {
        parts_[{model, ""}] = {};
        for (const std::string &adapter : adapters)
            parts_[{model, adapter}] = {};
    }
    replica_ = std::make_unique<Replica>(
        store, id, service_.name, 64,
        [this](Connection &connection, const Request &request) {
            return serve(connection, request);
        },
        Replica::Engine {[this] { return describe(); },
                         [this](const Request &request) { return answer(request); }});
}

json::array ModelReplica::heldModels() const
{
    json::array models;
    for (const auto &[name, part] : parts_) {
        if (!part.isReady())
            continue;
        if (name.second.empty())
            models.push_back(
                json::object {{"name", name.first}, {"version", 1}, {"adapters", json::array()}});
        else
            models.back().at("adapters").as_array().push_back(json::string(name.second));
    }
    return models;
}

json::object ModelReplica::describe()
{
    const std::lock_guard lock(mutex_);
    json::array copies;
    for (const Model &model : service_.models)
        copies.push_back(json::string(model.name));
    return {{"stage", "unified"},
            {"models", heldModels()},
            {"at-hand", json::object {{"in-memory", json::array()}, {"on-disk", copies}}}};
}

bool ModelReplica::isBusy() const
{
    return std::ranges::any_of(parts_, [](const auto &item) {
        return item.first.second.empty() && (item.second.isUnloading || !item.second.isReady());
    });
}

std::string ModelReplica::answer(const Request &request)
{
    if (request.target == "/order") {
        const json::value body = json::parse(request.body);
        const std::lock_guard lock(mutex_);
        return render(order(body.as_object()), {}, "");
    }
    const std::lock_guard lock(mutex_);
    const json::object report {{"stage", "unified"}, {"models", heldModels()},
                               {"busy", isBusy()},   {"sequence", sequence_},
                               {"queued", 0},        {"running", 0},
                               {"kv-used", 0},       {"kv-total", 254704},
                               {"handles", 0},       {"born", replica_->startedAt()}};
    return render(200, {{"Content-Type", "application/json"}}, json::serialize(report));
}

int ModelReplica::order(const json::object &order)
{
    const auto textOf = [&](const char *field) {
        const json::value *value = order.if_contains(field);
        return value ? std::string(value->as_string()) : std::string();
    };
    const Name name(textOf("model"), textOf("adapter"));
    const bool isLoad = textOf("operation") == "load";
    const json::value *expected = order.if_contains("precondition");
    int status = 202;
    if ((name.second.empty() && isBusy())
        || (expected && expected->to_number<std::uint64_t>() != sequence_))
        status = 409;
    else if (isLoad == parts_.contains(name))
        status = 200;
    else if (isLoad)
        load(name);
    else
        status = unload(name);
    sequence_ += status == 409 || (status == 200 && isLoad) ? 0 : 1;
    record_.write("order from " + textOf("holder") + ": " + textOf("operation") + " " + name.first
                  + (name.second.empty() ? "" : "/" + name.second) + ", answered "
                  + std::to_string(status));
    return status;
}

void ModelReplica::load(const Name &name)
{
    parts_[name].readyAt =
        SteadyClock::now() + (name.second.empty() ? service_.loadTime : service_.adapterLoadTime);
    double usedMb = 0;
    unsigned usedSlots = 0;
    for (const auto &[held, part] : parts_) {
        const auto model = std::ranges::find(service_.models, held.first, &Model::name);
        usedMb += held.second.empty() ? model->weightsMb : service_.adapterMb;
        usedSlots += held.second.empty() ? 0 : 1;
    }
    record_.write("replica holds " + std::to_string(static_cast<long>(usedMb)) + " MB of "
                  + std::to_string(static_cast<long>(service_.weightsMb)) + " MB, and "
                  + std::to_string(usedSlots) + " adapters in "
                  + std::to_string(service_.adapterSlots) + " places");
    if (usedMb <= service_.weightsMb && usedSlots <= service_.adapterSlots)
        return;
    record_.write("broken: ordered to load more than it holds; the replica crashes");
    isOverLimit_ = true;
}

int ModelReplica::unload(const Name &name)
{
    const auto isConcerned = [&](const Name &held) {
        return held == name || (name.second.empty() && held.first == name.first);
    };
    const bool isUsed = std::ranges::any_of(
        parts_, [&](const auto &item) { return isConcerned(item.first) && item.second.runs > 0; });
    if (isUsed) {
        // Takes effect when the runs have ended.
        parts_.at(name).isUnloading = true;
        return 202;
    }
    std::erase_if(parts_, [&](const auto &item) { return isConcerned(item.first); });
    return 200;
}

void ModelReplica::endRun(const Name &name, bool isComplete)
{
    const std::lock_guard lock(mutex_);
    lostRuns_ += isComplete ? 0 : 1;
    Part &part = parts_.at(name);
    if (--part.runs == 0 && part.isUnloading)
        parts_.erase(name);
}

bool ModelReplica::serve(Connection &connection, const Request &request)
{
    if (isOverLimit_) {
        connection.reset();
        return false;
    }
    const std::string attempt = header(request.headers, "X-Attempt-Id");
    const std::string artifact = header(request.headers, "X-Model");
    const std::size_t slash = std::min(artifact.find('/'), artifact.size());
    const Name name(artifact.substr(0, slash),
                    slash < artifact.size() ? artifact.substr(slash + 1) : "");
    {
        const std::lock_guard lock(mutex_);
        const auto part = parts_.find(name);
        if (part == parts_.end() || !part->second.isReady())
            return connection.send(render(421, refusalHeaders(request), ""));
        if (part->second.isUnloading)
            return connection.send(render(503, refusalHeaders(request), ""));
        ++part->second.runs;
    }
    record_.write("replica runs " + attempt + " with " + artifact);
    const bool isComplete = stream(connection, request);
    record_.write("run of " + attempt + (isComplete ? " ends" : " is lost"));
    endRun(name, isComplete);
    return isComplete;
}

/// False if the replica crashes or the node closes the connection before the last event.
bool ModelReplica::stream(Connection &connection, const Request &request)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : answerHeaders(*replica_, request))
        head += name + ": " + value + "\r\n";
    if (!connection.send(head + "\r\n"))
        return false;
    for (int i = 1; i <= service_.events; ++i) {
        const std::string event =
            "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        if (isOverLimit_) {
            connection.reset();
            return false;
        }
        if (!connection.send(chunk.str()))
            return false;
        std::this_thread::sleep_for(service_.eventGap);
    }
    return connection.send("0\r\n\r\n");
}

} // namespace review
