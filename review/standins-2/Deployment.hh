// The configuration of the small deployments, reduced to plain routes, and a keyed client.
#pragma once

#include <boost/json/value.hpp>

#include "Net.hh"

namespace review {

inline const std::string kHost = "yard.example";
inline const std::string kKey = "key-1";

/// A configuration with an unsafe and a safe route to the service `yardbook`, a resumable streaming
/// route to the engines of `assessor` unless it is left out, and one tenant without a limit.
boost::json::value makeConfiguration(std::uint64_t version, bool hasStreams = true);

/// The head of a request as clients send it.
std::string formatRequest(const std::string &method, const std::string &path,
                          const std::string &attempt, std::int64_t deadlineMs,
                          const std::string &body);

/// A line of record.txt.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex mutex_;
    struct File;
    std::unique_ptr<File> file_;
};

/// Exit codes of a case.
enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Whether the disruption is left out.
bool isWithoutTrouble();

} // namespace review
