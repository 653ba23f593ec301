#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/value.hpp>

#include "boragerack/runtime/HttpHandler.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::standins {

/// Stand-in for the platform's object API (docs/design.md, section 12). POST /control/faults
/// {"outage","delayMs","loseAnswers"} injects faults, POST /control/instances adds or replaces one
/// instance ("state":"gone" removes it), POST /control/copy makes a copy of the objects and
/// POST /control/restore returns to it, GET /control/counters returns call counts.
class PlatformStandin final : public runtime::HttpHandler
{
public:
    void handle(const runtime::HttpRequest &request, runtime::HttpResponder &responder) override;

private:
    struct Object
    {
        std::uint64_t version = 0;
        boost::json::value value;
    };

    void handleControl(const runtime::HttpRequest &request, runtime::HttpResponder &responder);
    runtime::HttpResponse getObject(const std::string &key) const;
    runtime::HttpResponse putObject(const std::string &key, const runtime::HttpRequest &request);
    runtime::HttpResponse deleteObject(const std::string &key, const runtime::HttpRequest &request);
    runtime::HttpResponse listObjects(const std::string &prefix) const;
    runtime::HttpResponse watchObjects(const runtime::HttpRequest &request);
    runtime::HttpResponse listInstances() const;
    runtime::HttpResponse handleApiRequest(const runtime::HttpRequest &request);
    boost::json::value toJson(const std::string &key, const Object &object) const;
    void publish(boost::json::value event);

    std::map<std::string, Object> objects_;
    std::deque<boost::json::value> events_;
    std::map<std::string, boost::json::value> instances_;
    std::uint64_t revision_ = 0;
    /// Increases with each restore.
    std::uint64_t era_ = 0;
    std::map<std::string, Object> copiedObjects_;
    std::uint64_t copiedRevision_ = 0;
    std::map<std::string, std::int64_t> counters_;
    bool isUnavailable_ = false;
    std::chrono::milliseconds delay_ = std::chrono::milliseconds(0);
    std::int64_t responsesToDrop_ = 0;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
};

} // namespace boragerack::standins
