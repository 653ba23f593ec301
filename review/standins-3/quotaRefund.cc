// Callers of a tenant that is over its quota leave while their requests wait for tokens. Counts
// what replicas run for the tenant in each window of the quota.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include <boost/json/parse.hpp>

#include "Http.hh"
#include "Node.hh"
#include "Record.hh"
#include "Replica.hh"
#include "Store.hh"

namespace json = boost::json;
using namespace review;

namespace {

constexpr int kNodes = 5;
constexpr std::int64_t kRate = 250'000;
constexpr std::int64_t kBurst = 250'000;
constexpr std::int64_t kTokens = 1'000;
constexpr std::int64_t kWindowMs = 8'000;
constexpr double kOverage = 0.1;
constexpr std::int64_t kSlack = 110'000;
/// A tenant's usual demand is its rate divided by this.
constexpr double kQuotaFactor = 1.8;
constexpr double kHotFactor = 6;
constexpr std::int64_t kWarmUpMs = 6'000;
constexpr std::int64_t kHotMs = 11'000;
/// Share of the callers that leave, and the longest time after which they do.
constexpr double kLeavingShare = 0.3;
constexpr std::int64_t kLongestStayMs = 25;

struct Sent
{
    std::int64_t at = 0;
    std::int64_t leftAfter = -1;
    std::string outcome;
};

const std::string kConfiguration = R"({
  "version": 3,
  "routes": [{"name": "note", "host": "h.example", "path-prefix": "/note/", "kind": "streaming",
              "resumable": true, "service": "engine-a", "max-attempts": 2, "timeout-ms": 5000,
              "target-latency-ms": 500, "gap-target-ms": 600, "priority": 0}],
  "services": [{"name": "engine-a", "engine": {"slots": 64, "weights-mb": 200000,
                "adapter-slots": 8, "loads-per-s": 3,
                "models": [{"name": "m1", "weights-mb": 150000, "load-time-s": 6, "adapters": 0,
                            "adapter-mb": 50}]}}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000,
             "idle-timeout-ms": 10000},
  "tenants": [{"name": "t1", "api-keys": ["key-1"], "rate-per-s": RATE, "burst": BURST,
               "unit": "tokens", "plain-tokens": 200}]
})";

std::string configuration()
{
    std::string text = kConfiguration;
    text.replace(text.find("RATE"), 4, std::to_string(kRate));
    text.replace(text.find("BURST"), 5, std::to_string(kBurst));
    return text;
}

/// Sends one request on a new connection. With `leaveAfterMs`, closes it after that time unless the
/// answer has begun.
std::string send(std::uint16_t port, const std::string &attempt, std::int64_t leaveAfterMs,
                 Sent &sent)
{
    const int socket = connectTo(port);
    if (socket < 0)
        return "no connection";
    Connection connection(socket);
    connection.setTimeout(leaveAfterMs >= 0 ? static_cast<int>(std::max<std::int64_t>(1, leaveAfterMs))
                                            : 6000);
    const std::string body = "prompt";
    sent.at = nowMs();
    connection.write("POST /note/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt
                     + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key-1\r\nX-Model: m1"
                       "\r\nX-Token-Usage: "
                     + std::to_string(kTokens - 100) + ",100\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\n\r\n" + body);
    auto head = connection.readHead();
    if (!head && leaveAfterMs >= 0) {
        sent.leftAfter = nowMs() - sent.at;
        return "left";
    }
    if (!head)
        return "no answer";
    connection.setTimeout(6000);
    while (head->header("Transfer-Encoding") == "chunked") {
        const std::string part = connection.readSome();
        if (part.empty())
            return "cut";
        if (part.ends_with("0\r\n\r\n"))
            break;
    }
    return std::to_string(head->status());
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
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 0; i < 3; ++i)
        replicas.push_back(std::make_unique<Replica>(
            store, Replica::Options {"i-" + std::to_string(i), "engine-a", "m1", 64, 20}));
    store.put("config", "main", json::parse(configuration()));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < kNodes; ++i) {
        const std::string name = "front-" + std::to_string(i);
        nodes.push_back(std::make_unique<Node>(folders, name, makeFields(name, store.port())));
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

    std::mutex mutex;
    std::map<std::string, Sent> requests;
    std::atomic<int> open = 0;
    std::mt19937 random(1);
    std::uniform_real_distribution<double> share(0, 1);
    const double usual = static_cast<double>(kRate) / kQuotaFactor / kTokens;
    const std::int64_t trafficFrom = nowMs();
    double due = 0;
    for (int number = 0; nowMs() - trafficFrom < kWarmUpMs + kHotMs; ++number) {
        const bool isHot = nowMs() - trafficFrom >= kWarmUpMs;
        due += 1000 / (usual * (isHot ? kHotFactor : 1));
        const std::int64_t leaveAfter = isHot && hasTrouble && share(random) < kLeavingShare
            ? 1 + static_cast<std::int64_t>(share(random) * (kLongestStayMs - 1))
            : -1;
        const std::uint16_t port = nodes[number % kNodes]->port("listen.front");
        ++open;
        std::thread([&, number, leaveAfter, port] {
            const std::string attempt = "a" + std::to_string(number);
            Sent sent;
            sent.outcome = send(port, attempt, leaveAfter, sent);
            const std::lock_guard lock(mutex);
            requests[attempt] = sent;
            --open;
        }).detach();
        sleepMs(std::max<std::int64_t>(0, trafficFrom + static_cast<std::int64_t>(due) - nowMs()));
    }
    while (open > 0)
        sleepMs(20);
    sleepMs(200);

    struct Arrival
    {
        std::int64_t sentAt;
        std::int64_t ranAt;
    };
    std::vector<Arrival> arrivals;
    std::map<std::string, int> outcomes;
    std::map<std::string, std::int64_t> ranAt;
    for (const auto &replica : replicas) {
        for (const Replica::Run &run : replica->runs()) {
            // A run that goes on at another replica is the same request.
            ranAt.try_emplace(run.attempt, run.at);
        }
    }
    for (const auto &[attempt, sent] : requests) {
        ++outcomes[sent.outcome];
        const auto run = ranAt.find(attempt);
        record.line("sent " + attempt + " at_ms " + std::to_string(sent.at - trafficFrom)
                    + " outcome " + sent.outcome
                    + (sent.leftAfter >= 0 ? " after_ms " + std::to_string(sent.leftAfter) : "")
                    + (run != ranAt.end()
                           ? " ran_at_ms " + std::to_string(run->second - trafficFrom)
                           : ""));
        if (run != ranAt.end())
            arrivals.push_back({sent.at, run->second});
    }
    std::int64_t most = 0;
    std::int64_t mostFrom = 0;
    for (const Arrival &first : arrivals) {
        std::int64_t tokens = 0;
        for (const Arrival &arrival : arrivals) {
            if (arrival.sentAt >= first.sentAt && arrival.ranAt < first.sentAt + kWindowMs)
                tokens += kTokens;
        }
        if (tokens > most) {
            most = tokens;
            mostFrom = first.sentAt;
        }
    }
    const auto allowed = static_cast<std::int64_t>(
        static_cast<double>(kRate * kWindowMs / 1000 + kBurst) * (1 + kOverage)
        + static_cast<double>(kSlack));
    std::string counts;
    for (const auto &[outcome, count] : outcomes)
        counts += " \"" + outcome + "\":" + std::to_string(count);
    record.summary("outcomes" + counts);
    record.summary("QUOTA: " + std::to_string(most) + " tokens of the tenant were sent and run in "
                   + std::to_string(kWindowMs) + " ms from " + std::to_string(mostFrom - trafficFrom)
                   + "; allowed " + std::to_string(allowed));
    if (outcomes["200"] == 0) {
        record.summary("nothing was served");
        return CouldNotRun;
    }
    record.summary(most > allowed ? "broken" : "held");
    return most > allowed ? Broken : Held;
}
