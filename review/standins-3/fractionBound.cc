// The platform changes a bound to a fraction, and the nodes are restarted in turn. Counts how often
// a process ends by itself.

#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/parse.hpp>

#include "Http.hh"
#include "Node.hh"
#include "Record.hh"
#include "Store.hh"

using namespace review;

namespace {

constexpr int kNodes = 2;
constexpr int kStarts = 3;
constexpr std::int64_t kRestartDelayMs = 300;
constexpr std::int64_t kReadyMs = 15'000;
constexpr std::int64_t kStopMs = 9'000;

const std::string kConfiguration = R"({
  "version": 3,
  "routes": [{"name": "check", "host": "h.example", "path-prefix": "/check/", "kind": "safe",
              "service": "yard", "max-attempts": 2, "timeout-ms": 1500,
              "target-latency-ms": 300, "priority": 0}],
  "services": [{"name": "yard"}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000,
             "idle-timeout-ms": 10000},
  "tenants": [{"name": "t1", "api-keys": ["key-1"], "rate-per-s": 0, "burst": 0,
               "unit": "tokens", "plain-tokens": 200}]
})";

bool waitUntilReady(const Node &node, std::int64_t limitMs)
{
    const std::int64_t from = nowMs();
    while (nowMs() - from < limitMs) {
        if (getStatus(node.port("listen.ready"), "/ready") == 200)
            return true;
        sleepMs(100);
    }
    return false;
}

/// Waits for the end of the process; -1 if it runs on.
int waitForEnd(Node &node, std::int64_t limitMs)
{
    const std::int64_t from = nowMs();
    while (nowMs() - from < limitMs) {
        if (const int status = node.poll(); status >= 0)
            return status;
        sleepMs(50);
    }
    return -1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4)
        return CouldNotRun;
    const Folders folders {argv[1], argv[2], argv[3]};
    const char *variable = std::getenv("TROUBLE");
    const bool hasTrouble = !variable || std::string(variable) != "0";
    Record record(folders.scenario);
    Store store;
    store.put("config", "main", boost::json::parse(kConfiguration));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < kNodes; ++i) {
        const std::string name = "front-" + std::to_string(i);
        nodes.push_back(std::make_unique<Node>(folders, name, makeFields(name, store.port())));
        nodes.back()->start();
    }
    for (const auto &node : nodes) {
        if (!waitUntilReady(*node, kReadyMs)) {
            record.summary("a node does not become ready");
            return CouldNotRun;
        }
    }
    const std::string grace = hasTrouble ? "7.5" : "7";
    for (const auto &node : nodes) {
        node->fields()["bounds.grace-s"] = grace;
        node->writeSettings();
        node->signal(SIGHUP);
        record.line("settings of " + node->name() + " changed to grace-s " + grace + ", SIGHUP");
    }
    sleepMs(1'000);
    int failing = 0;
    for (const auto &node : nodes) {
        node->signal(SIGTERM);
        const int stopped = waitForEnd(*node, kStopMs);
        record.line(node->name() + " after SIGTERM: status " + std::to_string(stopped));
        if (stopped < 0)
            return CouldNotRun;
        int ends = 0;
        bool isReady = false;
        for (int start = 0; start < kStarts && !isReady; ++start) {
            sleepMs(kRestartDelayMs);
            node->start();
            const int status = waitForEnd(*node, 1'000);
            if (status < 0) {
                isReady = waitUntilReady(*node, kReadyMs);
                break;
            }
            ++ends;
            record.line(node->name() + " started, ended by itself with status "
                        + std::to_string(status));
        }
        record.summary("Fault: " + node->name() + " ended by itself " + std::to_string(ends)
                       + " times after its restart and is " + (isReady ? "ready" : "not ready"));
        failing += ends >= kStarts ? 1 : 0;
    }
    const bool isBroken = failing >= kNodes;
    record.summary(isBroken ? "broken" : "held");
    return isBroken ? Broken : Held;
}
