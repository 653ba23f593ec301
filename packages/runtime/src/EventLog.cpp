#include "boragerack/runtime/EventLog.h"

#include <chrono>
#include <csignal>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

#include <glog/logging.h>

#include "LogRateLimiter.h"

namespace boragerack::runtime {

namespace {

enum class Severity { Info, Warning, Error };

struct EventDescription
{
    Severity severity;
    std::string_view summary;
};

EventDescription describe(LogEvent event)
{
    switch (event) {
    case LogEvent::NodeReady:
        return {Severity::Info, "node is ready"};
    case LogEvent::NodeDraining:
        return {Severity::Info, "node is draining"};
    case LogEvent::NodeStopped:
        return {Severity::Info, "node has stopped"};
    case LogEvent::SettingsInvalid:
        return {Severity::Error, "settings are invalid"};
    case LogEvent::StartFailed:
        return {Severity::Error, "node cannot start"};
    case LogEvent::NodeIsolated:
        return {Severity::Error, "node is isolated and refuses requests"};
    case LogEvent::NodeServing:
        return {Severity::Info, "node serves requests"};
    case LogEvent::SettingIgnored:
        return {Severity::Error, "setting is ignored, its default is in effect"};
    case LogEvent::ConfigurationAccepted:
        return {Severity::Info, "configuration accepted"};
    case LogEvent::ConfigurationInEffect:
        return {Severity::Info, "configuration in effect"};
    case LogEvent::ConfigurationRejected:
        return {Severity::Warning, "configuration rejected"};
    case LogEvent::PlatformUnavailable:
        return {Severity::Warning, "platform is unavailable"};
    case LogEvent::PlatformAvailable:
        return {Severity::Info, "platform is available"};
    case LogEvent::PlatformHistoryLost:
        return {Severity::Info, "platform's history is lost"};
    case LogEvent::PlatformRestored:
        return {Severity::Warning, "platform was restored from an older copy"};
    case LogEvent::LoadOrdered:
        return {Severity::Info, "load ordered"};
    case LogEvent::LoadFinished:
        return {Severity::Info, "load finished"};
    case LogEvent::LoadRefused:
        return {Severity::Warning, "load refused"};
    case LogEvent::UnloadOrdered:
        return {Severity::Info, "unload ordered"};
    case LogEvent::TargetLost:
        return {Severity::Warning, "target lost"};
    case LogEvent::TargetLeaving:
        return {Severity::Info, "target is leaving"};
    case LogEvent::TargetRateChanged:
        return {Severity::Info, "target changed its request rate"};
    case LogEvent::LongPromptTargetsChanged:
        return {Severity::Info, "other targets read the long prompts for a model"};
    case LogEvent::TargetReturned:
        return {Severity::Info, "removed target is listed again"};
    case LogEvent::DataCentreEvacuated:
        return {Severity::Info, "data centre evacuated"};
    case LogEvent::DataCentreReturned:
        return {Severity::Info, "data centre returned to service"};
    case LogEvent::TargetAdvised:
        return {Severity::Info, "target advises its callers"};
    case LogEvent::TargetListSourceChanged:
        return {Severity::Info, "target list comes from another source"};
    case LogEvent::RequestFailed:
        return {Severity::Warning, "request failed"};
    case LogEvent::RequestQuarantined:
        return {Severity::Warning, "request quarantined"};
    case LogEvent::ConnectionSilent:
        return {Severity::Warning, "connection is silent"};
    case LogEvent::RequestServed:
        return {Severity::Info, "request served"};
    case LogEvent::RequestRefused:
        return {Severity::Info, "request refused"};
    case LogEvent::RetryRefused:
        return {Severity::Info, "retry refused"};
    case LogEvent::CrashesReportedAgain:
        return {Severity::Info, "crashes reported again"};
    case LogEvent::BuffersExhausted:
        return {Severity::Warning, "memory for bodies is used up"};
    case LogEvent::CrashDisproved:
        return {Severity::Info, "target still runs"};
    case LogEvent::PeerConnected:
        return {Severity::Info, "peer connected"};
    case LogEvent::PeerLost:
        return {Severity::Warning, "peer lost"};
    case LogEvent::PeerRejected:
        return {Severity::Warning, "peer message rejected"};
    case LogEvent::ShareAcquired:
        return {Severity::Info, "budget share acquired"};
    case LogEvent::ShareReleased:
        return {Severity::Info, "budget share released"};
    case LogEvent::CoordinatorStarted:
        return {Severity::Info, "this node coordinates the fleet"};
    case LogEvent::CoordinatorEnded:
        return {Severity::Info, "this node no longer coordinates the fleet"};
    case LogEvent::CoordinatorFollowed:
        return {Severity::Info, "coordinator answers"};
    case LogEvent::CoordinatorLost:
        return {Severity::Warning, "coordinator does not answer"};
    case LogEvent::CoordinatorUnknown:
        return {Severity::Warning, "coordinator cannot be read"};
    case LogEvent::RelayAssigned:
        return {Severity::Info, "node reports through a relay"};
    case LogEvent::RelayLost:
        return {Severity::Warning, "relay does not answer; reporting to the coordinator"};
    case LogEvent::FleetUpdateIgnored:
        return {Severity::Info, "changes of the fleet's state do not fit"};
    case LogEvent::MemberLost:
        return {Severity::Warning, "node does not report"};
    case LogEvent::MessageDropped:
        return {Severity::Warning, "task's mailbox is full"};
    case LogEvent::SettingsChanged:
        return {Severity::Info, "settings read again"};
    case LogEvent::LinesDropped:
        return {Severity::Warning, "log lines dropped"};
    case LogEvent::ExceptionCaught:
        return {Severity::Error, "exception caught"};
    }
    return {Severity::Error, "unknown event"};
}

/// Rate limit per process for log lines about requests; the metrics count all requests.
constexpr double kRequestLinesPerSecond = 200;
constexpr double kRequestLineBurst = 400;

} // namespace

void initializeLog(const char *programName, LogStream stream)
{
    if (stream == LogStream::StandardError) {
        FLAGS_logtostderr = true;
        google::InitGoogleLogging(programName);
        return;
    }
    FLAGS_logtostdout = true;
    // A reader that is too slow or closes the pipe must not block or terminate the process.
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    static_cast<void>(::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
    static_cast<void>(std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ));
    google::InitGoogleLogging(programName);
}

void logRequestEvent(LogEvent event, std::string_view details)
{
    static LogRateLimiter limiter(kRequestLinesPerSecond, kRequestLineBurst);
    const auto now = std::chrono::steady_clock::now();
    if (const std::uint64_t dropped = limiter.takeDropped(now); dropped > 0)
        logEvent(LogEvent::LinesDropped, "lines=" + std::to_string(dropped));
    if (limiter.take(now))
        logEvent(event, details);
}

void logEvent(LogEvent event, std::string_view details)
{
    const auto [severity, summary] = describe(event);
    const int number = static_cast<int>(event);
    switch (severity) {
    case Severity::Info:
        LOG(INFO) << "[BR" << number << "] " << summary << ": " << details;
        break;
    case Severity::Warning:
        LOG(WARNING) << "[BR" << number << "] " << summary << ": " << details;
        break;
    case Severity::Error:
        LOG(ERROR) << "[BR" << number << "] " << summary << ": " << details;
        break;
    }
}

} // namespace boragerack::runtime
