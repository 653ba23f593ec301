// All replicas of a plain service leave at short notice and others come some seconds later. They
// turn away what they have no room for, with Retry-After. Counts the requests on kept connections
// that a node has passed on and whose connection it closes without an answer.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "Http.hh"
#include "Node.hh"
#include "Record.hh"
#include "Store.hh"

namespace json = boost::json;
using namespace review;

namespace {

constexpr int kNodes = 2;
constexpr int kReplicas = 3;
constexpr std::uint32_t kSlots = 6;
constexpr std::uint32_t kQueue = 4;
constexpr std::int64_t kWorkMs = 20;
constexpr const char *kRetryAfterSeconds = "5";
/// Callers of one node. Each has a connection of its own and sends two requests on it.
constexpr int kCallers = 1000;
constexpr int kWarmUpPerSecond = 140;
constexpr int kRequestsPerSecond = 150;
/// From the notice to the end of the replicas, and from there to the start of the others.
constexpr std::int64_t kNoticeMs = 2'000;
constexpr std::int64_t kGoneMs = 4'000;
constexpr std::int64_t kHeartbeatMs = 1'200;
constexpr int kAllowed = 3;

const std::string kConfiguration = R"({
  "version": 3,
  "routes": [{"name": "hold", "host": "h.example", "path-prefix": "/hold/", "kind": "unsafe",
              "service": "yard", "max-attempts": 1, "timeout-ms": 5000,
              "target-latency-ms": 2500, "priority": 0}],
  "services": [{"name": "yard"}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000,
             "idle-timeout-ms": 12000},
  "tenants": [TENANTS]
})";
constexpr int kTenants = 5;

/// A replica of a plain service: it works on some requests, lets a few wait, and turns the others
/// away.
class PlainReplica
{
public:
    PlainReplica(Store &store, std::string id)
        : store_(store)
        , id_(std::move(id))
        , born_(nowMs())
        , server_(0, [this](Connection &connection) { serve(connection); })
        , heartbeat_([this] { beat(); })
    {
    }
    ~PlainReplica() { leave(); }

    void drain()
    {
        isDraining_ = true;
        write();
    }
    /// Ends the heartbeats and removes the entry.
    void leave()
    {
        if (hasLeft_.exchange(true))
            return;
        heartbeat_.join();
        store_.remove("servers", id_);
    }
    std::set<std::string> received()
    {
        const std::lock_guard lock(mutex_);
        return received_;
    }
    int turnedAway() const { return turnedAway_; }

private:
    void write()
    {
        json::object entry {{"service", "yard"},
                            {"address", "127.0.0.1:" + std::to_string(server_.port())},
                            {"zone", "zone-a"},
                            {"version", "v1"},
                            {"slots", kSlots},
                            {"state", isDraining_ ? "draining" : "ready"},
                            {"cold-remaining-ms", 0},
                            {"born", born_},
                            {"sequence", ++sequence_}};
        if (isDraining_)
            entry["remaining-ms"] = kNoticeMs;
        store_.put("servers", id_, entry);
    }
    void beat()
    {
        while (!hasLeft_) {
            write();
            for (std::int64_t waited = 0; waited < kHeartbeatMs && !hasLeft_; waited += 50)
                sleepMs(50);
        }
    }
    void serve(Connection &connection)
    {
        while (const auto request = connection.read()) {
            const std::string attempt = request->header("X-Attempt-Id");
            Headers headers {{"X-Attempt-Id", attempt}};
            int status = 200;
            if (request->header("X-Expect-Instance") != id_) {
                status = 421;
            } else if (inside_++ >= kSlots + kQueue) {
                --inside_;
                ++turnedAway_;
                status = 503;
                headers["X-Not-Executed"] = "1";
                headers["Retry-After"] = kRetryAfterSeconds;
            } else {
                {
                    const std::lock_guard lock(mutex_);
                    received_.insert(attempt);
                }
                while (running_++ >= kSlots) {
                    --running_;
                    sleepMs(1);
                }
                sleepMs(kWorkMs);
                --running_;
                --inside_;
                headers["X-Server-Stamp"] = id_;
            }
            if (!connection.write(formatResponse(status, headers, status == 200 ? "held" : "")))
                return;
        }
    }

    Store &store_;
    std::string id_;
    std::int64_t born_;
    std::atomic<std::uint64_t> sequence_ = 0;
    std::atomic<bool> isDraining_ = false;
    std::atomic<bool> hasLeft_ = false;
    std::atomic<std::uint32_t> inside_ = 0;
    std::atomic<std::uint32_t> running_ = 0;
    std::atomic<int> turnedAway_ = 0;
    std::mutex mutex_;
    std::set<std::string> received_;
    Server server_;
    std::thread heartbeat_;
};

struct Result
{
    int node = 0;
    std::int64_t sentAt = 0;
    std::string outcome;
};

std::string request(const std::string &attempt, int tenant)
{
    return "POST /hold/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key-" + std::to_string(tenant)
        + "\r\nContent-Length: 4\r\n\r\nhold";
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
    std::string tenants;
    for (int i = 0; i < kTenants; ++i)
        tenants += std::string(i ? "," : "") + "{\"name\":\"t" + std::to_string(i)
            + "\",\"api-keys\":[\"key-" + std::to_string(i)
            + "\"],\"rate-per-s\":0,\"burst\":0,\"unit\":\"tokens\",\"plain-tokens\":200}";
    std::string configuration = kConfiguration;
    configuration.replace(configuration.find("TENANTS"), 7, tenants);
    store.put("config", "main", json::parse(configuration));
    std::vector<std::unique_ptr<PlainReplica>> replicas;
    for (int i = 0; i < kReplicas; ++i)
        replicas.push_back(std::make_unique<PlainReplica>(store, "i-a" + std::to_string(i)));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < kNodes; ++i) {
        const std::string name = "front-" + std::to_string(i);
        Fields fields = makeFields(name, store.port());
        fields["limits.memory-mb"] = "120";
        nodes.push_back(std::make_unique<Node>(folders, name, fields));
        nodes.back()->start();
    }
    const std::int64_t startedAt = nowMs();
    for (const auto &node : nodes) {
        while (getStatus(node->port("listen.ready"), "/ready") != 200) {
            if (nowMs() - startedAt > 20'000) {
                record.summary("a node does not become ready");
                return CouldNotRun;
            }
            sleepMs(100);
        }
    }
    sleepMs(2'000);

    std::mutex mutex;
    std::map<std::string, Result> results;
    std::atomic<int> callers = 0;
    const std::int64_t from = nowMs();
    const std::int64_t noticeAt = from + kCallers * 1000 / kWarmUpPerSecond + 500;
    for (int node = 0; node < kNodes; ++node) {
        for (int i = 0; i < kCallers; ++i) {
            ++callers;
            const std::uint16_t port = nodes[node]->port("listen.front");
            std::thread([&, node, i, port] {
                const auto waitUntil = [](std::int64_t at) {
                    sleepMs(std::max<std::int64_t>(0, at - nowMs()));
                };
                const std::string name = std::to_string(node) + "-" + std::to_string(i);
                waitUntil(from + i * 1000 / kWarmUpPerSecond);
                const int socket = connectTo(port);
                if (socket >= 0) {
                    Connection connection(socket);
                    connection.setTimeout(8'000);
                    connection.write(request("w" + name, i % kTenants));
                    const auto first = connection.read();
                    if (first && first->header("Connection") != "close") {
                        waitUntil(noticeAt + i * 1000 / kRequestsPerSecond);
                        Result result {node, nowMs(), {}};
                        const bool isSent =
                            connection.write(request("k" + name, i % kTenants));
                        const auto answer = isSent ? connection.read() : std::nullopt;
                        result.outcome = answer ? std::to_string(answer->status()) : "no answer";
                        const std::lock_guard lock(mutex);
                        results["k" + name] = result;
                    }
                }
                --callers;
            }).detach();
        }
    }
    const auto waitUntil = [](std::int64_t at) {
        sleepMs(std::max<std::int64_t>(0, at - nowMs()));
    };
    waitUntil(noticeAt);
    if (hasTrouble) {
        for (const auto &replica : replicas)
            replica->drain();
        waitUntil(noticeAt + kNoticeMs);
        for (const auto &replica : replicas)
            replica->leave();
        waitUntil(noticeAt + kNoticeMs + kGoneMs);
        for (int i = 0; i < kReplicas; ++i)
            replicas.push_back(std::make_unique<PlainReplica>(store, "i-b" + std::to_string(i)));
    }
    while (callers > 0 && nowMs() - from < 60'000)
        sleepMs(50);
    sleepMs(300);

    std::set<std::string> passedOn;
    int turnedAway = 0;
    for (const auto &replica : replicas) {
        passedOn.merge(replica->received());
        turnedAway += replica->turnedAway();
    }
    const std::lock_guard lock(mutex);
    std::vector<int> lost(kNodes);
    std::map<std::string, int> outcomes;
    for (const auto &[attempt, result] : results) {
        const bool wasPassedOn = passedOn.contains(attempt);
        record.line("sent " + attempt + " to front-" + std::to_string(result.node) + " at_ms "
                    + std::to_string(result.sentAt - noticeAt) + " answered " + result.outcome
                    + (wasPassedOn ? " accepted by a replica" : ""));
        ++outcomes[result.outcome];
        if (result.outcome == "no answer" && wasPassedOn)
            ++lost[result.node];
    }
    std::string counts;
    for (const auto &[outcome, count] : outcomes)
        counts += " \"" + outcome + "\":" + std::to_string(count);
    record.summary("requests on kept connections:" + counts + "; turned away by replicas "
                   + std::to_string(turnedAway));
    bool isBroken = false;
    for (int i = 0; i < kNodes; ++i) {
        const int status = nodes[i]->poll();
        record.summary("LOST: " + nodes[i]->name() + " passed " + std::to_string(lost[i])
                       + " requests on and closed their connections without an answer; allowed "
                       + std::to_string(kAllowed) + "; its process "
                       + (status < 0 ? "runs" : "ended with status " + std::to_string(status)));
        isBroken = isBroken || lost[i] > kAllowed;
    }
    if (outcomes.empty()) {
        record.summary("nothing was sent");
        return CouldNotRun;
    }
    record.summary(isBroken ? "broken" : "held");
    std::fflush(nullptr);
    nodes.clear();
    // Threads of connections may still wait for a peer.
    std::_Exit(isBroken ? Broken : Held);
}
