#include "boragerack/standins/PlatformStandin.h"

#include <algorithm>
#include <charconv>

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <boost/url/decode_view.hpp>

#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/standins/JsonHttp.h"

namespace boragerack::standins {

namespace json = boost::json;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::size_t kMaxEvents = 10000;
constexpr std::size_t kMaxValueBytes = 1024 * 1024;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string decodeKey(std::string_view encoded)
{
    const auto view = boost::urls::make_pct_string_view(encoded);
    return view ? view->decode() : std::string(encoded);
}

} // namespace

void PlatformStandin::handle(const HttpRequest &request, runtime::HttpResponder &responder)
{
    if (request.target.starts_with("/control/")) {
        handleControl(request, responder);
        return;
    }
    ++counters_["calls"];
    if (isUnavailable_) {
        responder.send(makeJsonResponse(503, json::object {{"error", "platform is out"}}));
        return;
    }
    if (delay_.count() > 0)
        boost::this_fiber::sleep_for(delay_);
    HttpResponse response = handleApiRequest(request);
    response.headers.push_back({"X-Store-Era", std::to_string(era_)});
    const bool isWrite = request.method == "PUT" || request.method == "DELETE";
    if (isWrite)
        ++counters_["writes"];
    if (isWrite && response.status == 200 && responsesToDrop_ > 0) {
        --responsesToDrop_;
        responder.abortConnection();
        return;
    }
    responder.send(response);
}

void PlatformStandin::handleControl(const HttpRequest &request, runtime::HttpResponder &responder)
{
    const json::value body = parseJsonBody(request);
    if (request.target == "/control/faults") {
        isUnavailable_ = flagOr(body, "outage", isUnavailable_);
        delay_ = std::chrono::milliseconds(integerOr(body, "delayMs", delay_.count()));
        responsesToDrop_ = integerOr(body, "loseAnswers", responsesToDrop_);
        changed_.notify_all();
    } else if (request.target == "/control/instances") {
        const std::string instance = textOr(body, "instance", "");
        ++revision_;
        if (textOr(body, "state", "live") == "gone")
            instances_.erase(instance);
        else
            instances_[instance] = body;
    } else if (request.target == "/control/copy") {
        copiedObjects_ = objects_;
        copiedRevision_ = revision_;
    } else if (request.target == "/control/restore") {
        objects_ = copiedObjects_;
        revision_ = copiedRevision_;
        events_.clear();
        ++era_;
        changed_.notify_all();
    } else if (request.target == "/control/counters") {
        json::object counters;
        for (const auto &[name, count] : counters_)
            counters[name] = count;
        responder.send(makeJsonResponse(200, counters));
        return;
    }
    responder.send(makeJsonResponse(200, json::object()));
}

HttpResponse PlatformStandin::handleApiRequest(const HttpRequest &request)
{
    const std::string_view path = runtime::pathOf(request);
    if (path == "/instances")
        return listInstances();
    if (path == "/watch")
        return watchObjects(request);
    if (path == "/objects")
        return listObjects(runtime::queryParameter(request, "prefix"));
    if (!path.starts_with(kObjectsPath))
        return makeJsonResponse(404, json::object());
    const std::string key = decodeKey(path.substr(kObjectsPath.size()));
    if (request.method == "GET")
        return getObject(key);
    if (request.method == "PUT")
        return putObject(key, request);
    if (request.method == "DELETE")
        return deleteObject(key, request);
    return makeJsonResponse(405, json::object());
}

json::value PlatformStandin::toJson(const std::string &key, const Object &object) const
{
    return json::object {{"key", key}, {"version", object.version}, {"value", object.value}};
}

void PlatformStandin::publish(json::value event)
{
    events_.push_back(std::move(event));
    if (events_.size() > kMaxEvents)
        events_.pop_front();
    changed_.notify_all();
}

HttpResponse PlatformStandin::getObject(const std::string &key) const
{
    const auto found = objects_.find(key);
    if (found == objects_.end())
        return makeJsonResponse(404, json::object());
    return makeJsonResponse(200, toJson(key, found->second));
}

HttpResponse PlatformStandin::putObject(const std::string &key, const HttpRequest &request)
{
    if (request.body.size() > kMaxValueBytes)
        return makeJsonResponse(413, json::object());
    const auto found = objects_.find(key);
    const std::string_view expected = runtime::findHeader(request.headers, "If-Match");
    const bool mustBeNew = runtime::findHeader(request.headers, "If-None-Match") == "*";
    if (mustBeNew && found != objects_.end())
        return makeJsonResponse(412, toJson(key, found->second));
    if (!expected.empty() && found == objects_.end())
        return makeJsonResponse(412, json::object());
    if (!expected.empty() && found->second.version != parseNumber(expected))
        return makeJsonResponse(412, toJson(key, found->second));

    Object &object = objects_[key];
    object.version = ++revision_;
    object.value = parseJsonBody(request);
    publish(toJson(key, object));
    return makeJsonResponse(200, json::object {{"key", key}, {"version", object.version}});
}

HttpResponse PlatformStandin::deleteObject(const std::string &key, const HttpRequest &request)
{
    const auto found = objects_.find(key);
    if (found == objects_.end())
        return makeJsonResponse(404, json::object());
    const std::string_view expected = runtime::findHeader(request.headers, "If-Match");
    if (!expected.empty() && found->second.version != parseNumber(expected))
        return makeJsonResponse(412, toJson(key, found->second));
    objects_.erase(found);
    ++revision_;
    publish(json::object {{"key", key}, {"version", revision_}, {"deleted", true}});
    return makeJsonResponse(200, json::object {{"key", key}, {"version", revision_}});
}

HttpResponse PlatformStandin::listObjects(const std::string &prefix) const
{
    json::array items;
    for (auto entry = objects_.lower_bound(prefix);
         entry != objects_.end() && entry->first.starts_with(prefix); ++entry)
        items.push_back(toJson(entry->first, entry->second));
    return makeJsonResponse(200, json::object {{"revision", revision_}, {"items", items}});
}

HttpResponse PlatformStandin::watchObjects(const HttpRequest &request)
{
    const std::string prefix = runtime::queryParameter(request, "prefix");
    const std::uint64_t after = parseNumber(runtime::queryParameter(request, "after"));
    const std::chrono::milliseconds wait(parseNumber(runtime::queryParameter(request, "waitMs")));
    if (!events_.empty() && events_.size() == kMaxEvents
        && events_.front().at("version").to_number<std::uint64_t>() > after + 1)
        return makeJsonResponse(410, json::object());

    json::array found;
    const auto collect = [&] {
        for (auto event = events_.rbegin(); event != events_.rend(); ++event) {
            if (event->at("version").to_number<std::uint64_t>() <= after)
                break;
            if (std::string_view(event->at("key").as_string()).starts_with(prefix))
                found.push_back(*event);
        }
        std::reverse(found.begin(), found.end());
        return !found.empty() || isUnavailable_;
    };
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, collect);
    if (isUnavailable_)
        return makeJsonResponse(503, json::object());
    return makeJsonResponse(200, json::object {{"revision", revision_}, {"events", found}});
}

HttpResponse PlatformStandin::listInstances() const
{
    json::array instances;
    for (const auto &[name, instance] : instances_)
        instances.push_back(instance);
    return makeJsonResponse(200, json::object {{"revision", revision_}, {"instances", instances}});
}

} // namespace boragerack::standins
