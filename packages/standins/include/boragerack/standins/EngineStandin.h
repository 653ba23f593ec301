#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::standins {

struct EngineOptions
{
    std::int64_t memoryMiB = 65536;
    bool checksFencing = true;
    std::chrono::milliseconds loadTime = std::chrono::milliseconds(200);
    std::chrono::milliseconds adapterLoadTime = std::chrono::milliseconds(8);
    std::chrono::milliseconds tokenTime = std::chrono::milliseconds(2);
    /// Delay between taking a report and sending it.
    std::chrono::milliseconds reportLag = std::chrono::milliseconds(0);

    friend bool operator==(const EngineOptions &, const EngineOptions &) = default;
};

/// Stand-in for a model engine (docs/design.md, section 12). POST /control/faults {"silent",
/// "crashOnPrompt","crashCloseMs","leaving","tokenMs"} injects faults: a process that crashes
/// closes its connections for "crashCloseMs" before it stops listening. GET /control/requests lists
/// the completion requests received.
class EngineStandin final : public runtime::HttpHandler
{
public:
    explicit EngineStandin(const EngineOptions &options);

    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

    /// Highest total memory of loading and loaded artifacts so far.
    std::int64_t peakMemoryMiB() const { return peakMemoryMiB_; }

private:
    struct LoadedArtifact
    {
        std::string model;
        std::string version;
        std::string adapter;
        std::string state;
        std::int64_t memoryMiB = 0;
        std::string order;
    };

    void complete(const runtime::HttpRequest &request, runtime::HttpResponder &responder);
    void crash(runtime::HttpResponder &responder);
    void streamTokens(const runtime::HttpRequest &request, const boost::json::value &body,
                      runtime::HttpResponder &responder);
    runtime::HttpResponse load(const boost::json::value &body);
    runtime::HttpResponse unload(const boost::json::value &body);
    runtime::HttpResponse report() const;
    runtime::HttpResponse listRequests() const;
    void setFaults(const boost::json::value &body);
    /// True if the fencing number is lower than an earlier one; otherwise records it.
    bool detectStaleFence(const boost::json::value &body);
    bool isReady(const std::string &name) const;
    std::int64_t usedMemoryMiB() const;

    EngineOptions options_;
    std::map<std::string, LoadedArtifact> loaded_;
    std::set<std::string> orders_;
    std::vector<boost::json::value> requests_;
    std::int64_t highestFence_ = 0;
    std::int64_t peakMemoryMiB_ = 0;
    std::int64_t running_ = 0;
    bool isUnresponsive_ = false;
    bool isLeaving_ = false;
    bool isExiting_ = false;
    std::string crashPrompt_;
    std::chrono::milliseconds crashCloseTime_ = std::chrono::milliseconds(0);
};

} // namespace boragerack::standins
