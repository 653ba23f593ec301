#include "boragerack/standins/EngineStandin.h"

#include <algorithm>
#include <unistd.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include "boragerack/runtime/HttpResponder.h"
#include "boragerack/standins/JsonHttp.h"

namespace boragerack::standins {

namespace json = boost::json;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

constexpr std::int64_t kDefaultTokens = 16;
constexpr std::int64_t kCrashExitCode = 86;
constexpr std::chrono::milliseconds kUnresponsivePollInterval(20);

/// Key of a loaded model or adapter as in the "model" field of a request: model[:adapter].
std::string nameOf(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + ":" + adapter;
}

std::string promptOf(const json::value &body)
{
    if (std::string prompt = textOr(body, "prompt", ""); !prompt.empty())
        return prompt;
    const json::value *messages =
        body.is_object() ? body.get_object().if_contains("messages") : nullptr;
    return messages ? json::serialize(*messages) : "";
}

std::string tokenAt(std::int64_t offset)
{
    return "t" + std::to_string(offset) + " ";
}

json::value makeChoice(bool isChat, bool isStream, const std::string &text, bool isLast)
{
    json::object choice {{"index", 0}, {"finish_reason", isLast ? json::value("length") : nullptr}};
    if (!isChat)
        choice["text"] = text;
    else
        choice[isStream ? "delta" : "message"] =
            json::object {{"role", "assistant"}, {"content", text}};
    return choice;
}

} // namespace

EngineStandin::EngineStandin(const EngineOptions &options)
    : options_(options)
{
}

void EngineStandin::handle(const HttpRequest &request, runtime::HttpResponder &responder)
{
    const std::string_view path = runtime::pathOf(request);
    const json::value body = parseJsonBody(request);
    if (isExiting_) {
        responder.abortConnection();
        return;
    }
    while (isUnresponsive_ && path != "/control/faults")
        boost::this_fiber::sleep_for(kUnresponsivePollInterval);
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        complete(request, responder);
    } else if (path == "/control/load") {
        responder.send(load(body));
    } else if (path == "/control/unload") {
        responder.send(unload(body));
    } else if (path == "/control/report") {
        responder.send(report());
    } else if (path == "/control/requests") {
        responder.send(listRequests());
    } else if (path == "/control/faults") {
        setFaults(body);
        responder.send(makeJsonResponse(200, json::object()));
    } else {
        responder.send(makeJsonResponse(404, json::object()));
    }
}

void EngineStandin::complete(const HttpRequest &request, runtime::HttpResponder &responder)
{
    const json::value body = parseJsonBody(request);
    json::array headers;
    for (const auto &header : request.headers)
        headers.push_back(json::value(header.name + ": " + header.value));
    requests_.push_back(json::object {
        {"target", request.target}, {"headers", headers}, {"prompt", promptOf(body)}});
    if (!crashPrompt_.empty() && promptOf(body).find(crashPrompt_) != std::string::npos) {
        crash(responder);
        return;
    }
    if (!isReady(textOr(body, "model", ""))) {
        responder.send(makeJsonResponse(404, json::object {{"error", "model is not loaded"}}));
        return;
    }
    ++running_;
    streamTokens(request, body, responder);
    --running_;
}

void EngineStandin::crash(runtime::HttpResponder &responder)
{
    if (crashCloseTime_.count() == 0)
        _exit(kCrashExitCode);
    isExiting_ = true;
    responder.abortConnection();
    boost::fibers::fiber([delay = crashCloseTime_] {
        boost::this_fiber::sleep_for(delay);
        _exit(kCrashExitCode);
    }).detach();
}

void EngineStandin::streamTokens(const HttpRequest &request, const json::value &body,
                                 runtime::HttpResponder &responder)
{
    const bool isChat = runtime::pathOf(request) == "/v1/chat/completions";
    const bool isStream = flagOr(body, "stream", false);
    const std::int64_t tokens = integerOr(body, "max_tokens", kDefaultTokens);
    const std::string resume(runtime::findHeader(request.headers, "X-Resume-Offset"));
    const std::string attempt(runtime::findHeader(request.headers, "X-Attempt"));
    const std::int64_t start = resume.empty() ? 0 : std::stoll(resume);

    std::string text;
    if (isStream
        && !responder.startStream(200,
                                  {{"Content-Type", "text/event-stream"}, {"X-Attempt", attempt}}))
        return;
    for (std::int64_t offset = start; offset < tokens; ++offset) {
        boost::this_fiber::sleep_for(options_.tokenTime);
        while (isUnresponsive_)
            boost::this_fiber::sleep_for(kUnresponsivePollInterval);
        if (!isStream) {
            text += tokenAt(offset);
            continue;
        }
        const json::object event {
            {"object", "text_completion"},
            {"offset", offset},
            {"choices",
             json::array {makeChoice(isChat, true, tokenAt(offset), offset + 1 == tokens)}}};
        if (!responder.writePart("data: " + json::serialize(event) + "\n\n"))
            return;
    }
    if (isStream) {
        if (responder.writePart("data: [DONE]\n\n"))
            responder.finishStream();
        return;
    }
    responder.send(makeJsonResponse(
        200,
        json::object {{"object", "text_completion"},
                      {"choices", json::array {makeChoice(isChat, false, text, true)}},
                      {"usage", json::object {{"completion_tokens", tokens - start}}}}));
}

bool EngineStandin::detectStaleFence(const json::value &body)
{
    if (!options_.checksFencing)
        return false;
    const std::int64_t fence = integerOr(body, "fence", 0);
    if (fence < highestFence_)
        return true;
    highestFence_ = fence;
    return false;
}

HttpResponse EngineStandin::load(const json::value &body)
{
    const std::string order = textOr(body, "order", "");
    if (detectStaleFence(body))
        return makeJsonResponse(409, json::object {{"error", "fencing number is stale"}});
    const std::string name = nameOf(textOr(body, "model", ""), textOr(body, "adapter", ""));
    if (orders_.contains(order) || loaded_.contains(name))
        return makeJsonResponse(202, json::object());
    const std::int64_t memory = integerOr(body, "memoryMiB", 0);
    if (usedMemoryMiB() + memory > options_.memoryMiB)
        return makeJsonResponse(507, json::object {{"error", "model does not fit"}});
    orders_.insert(order);
    loaded_[name] = LoadedArtifact {textOr(body, "model", ""),
                                    textOr(body, "version", ""),
                                    textOr(body, "adapter", ""),
                                    "loading",
                                    memory,
                                    order};
    peakMemoryMiB_ = std::max(peakMemoryMiB_, usedMemoryMiB());
    const auto duration =
        textOr(body, "adapter", "").empty() ? options_.loadTime : options_.adapterLoadTime;
    boost::fibers::fiber([this, name, duration, order] {
        boost::this_fiber::sleep_for(duration);
        if (const auto found = loaded_.find(name);
            found != loaded_.end() && found->second.order == order)
            found->second.state = "ready";
    }).detach();
    return makeJsonResponse(202, json::object());
}

HttpResponse EngineStandin::unload(const json::value &body)
{
    if (detectStaleFence(body))
        return makeJsonResponse(409, json::object {{"error", "fencing number is stale"}});
    orders_.insert(textOr(body, "order", ""));
    const std::string model = textOr(body, "model", "");
    const std::string adapter = textOr(body, "adapter", "");
    std::erase_if(loaded_, [&](const auto &entry) {
        const LoadedArtifact &loaded = entry.second;
        return loaded.model == model && (adapter.empty() || loaded.adapter == adapter);
    });
    return makeJsonResponse(202, json::object());
}

HttpResponse EngineStandin::report() const
{
    json::array loaded;
    for (const auto &[name, entry] : loaded_) {
        loaded.push_back(json::object {{"model", entry.model},
                                       {"version", entry.version},
                                       {"adapter", entry.adapter},
                                       {"state", entry.state},
                                       {"memoryMiB", entry.memoryMiB},
                                       {"order", entry.order}});
    }
    json::array orders;
    for (const std::string &order : orders_)
        orders.push_back(json::value(order));
    json::object result {{"memoryMiB", options_.memoryMiB},
                         {"usedMiB", usedMemoryMiB()},
                         {"peakMiB", peakMemoryMiB_},
                         {"leaving", isLeaving_},
                         {"loaded", loaded},
                         {"orders", orders},
                         {"running", running_},
                         {"queued", 0},
                         {"cached", json::array()}};
    // The delay follows the snapshot, so the report is outdated like that of an overloaded engine.
    if (options_.reportLag.count() > 0)
        boost::this_fiber::sleep_for(options_.reportLag);
    return makeJsonResponse(200, result);
}

HttpResponse EngineStandin::listRequests() const
{
    return makeJsonResponse(200, json::array(requests_.begin(), requests_.end()));
}

void EngineStandin::setFaults(const json::value &body)
{
    isUnresponsive_ = flagOr(body, "silent", isUnresponsive_);
    isLeaving_ = flagOr(body, "leaving", isLeaving_);
    crashPrompt_ = textOr(body, "crashOnPrompt", crashPrompt_);
    crashCloseTime_ =
        std::chrono::milliseconds(integerOr(body, "crashCloseMs", crashCloseTime_.count()));
    options_.tokenTime =
        std::chrono::milliseconds(integerOr(body, "tokenMs", options_.tokenTime.count()));
}

bool EngineStandin::isReady(const std::string &name) const
{
    const auto found = loaded_.find(name);
    return found != loaded_.end() && found->second.state == "ready";
}

std::int64_t EngineStandin::usedMemoryMiB() const
{
    std::int64_t used = 0;
    for (const auto &[name, entry] : loaded_)
        used += entry.memoryMiB;
    return used;
}

} // namespace boragerack::standins
