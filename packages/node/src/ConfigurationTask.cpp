#include "ConfigurationTask.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include <boost/fiber/operations.hpp>

#include "boragerack/config/ListCheck.h"
#include "boragerack/runtime/EventLog.h"

namespace boragerack::node {

namespace {

constexpr std::string_view kListPrefix = "lists/";
constexpr std::chrono::milliseconds kRetryPause(500);

} // namespace

ConfigurationTask::ConfigurationTask(platform::PlatformStore &store,
                                     std::chrono::milliseconds watchWait)
    : store_(store)
    , watchWait_(watchWait)
{
}

void ConfigurationTask::start()
{
    fibers_.start([this] { run(); });
}

void ConfigurationTask::run()
{
    while (!isStopping_ && !readLists())
        boost::this_fiber::sleep_for(kRetryPause);
    while (!isStopping_) {
        const auto changes = store_.watch(std::string(kListPrefix), revision_, watchWait_);
        if (!core::isOk(changes)) {
            boost::this_fiber::sleep_for(kRetryPause);
        } else if (core::valueOf(changes).isExpired || !core::valueOf(changes).changes.empty()) {
            readLists();
        } else {
            revision_ = core::valueOf(changes).revision;
        }
    }
}

bool ConfigurationTask::readLists()
{
    const auto list = store_.list(std::string(kListPrefix));
    if (!core::isOk(list))
        return false;
    revision_ = core::valueOf(list).revision;
    std::map<std::string, std::string> textByPart;
    std::uint64_t version = 0;
    for (const platform::PlatformObject &object : core::valueOf(list).objects) {
        textByPart[object.key.substr(kListPrefix.size())] = object.value;
        version = std::max(version, object.version);
    }
    const auto checked = config::checkLists(textByPart);
    if (const auto *fault = std::get_if<config::ListFault>(&checked)) {
        runtime::logEvent(runtime::LogEvent::ConfigurationRejected,
                          fault->part + ": " + fault->message);
        return true;
    }
    if (version > active_.get()->version) {
        active_.set({version, std::get<decisions::Catalogue>(checked)});
        runtime::logEvent(runtime::LogEvent::ConfigurationInEffect,
                          "version " + std::to_string(version));
    }
    return true;
}

} // namespace boragerack::node
