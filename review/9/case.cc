// A configuration allows heads of 128 KiB, and a client without a key sends a header of 70,000
// bytes. The process that reads it ends, and with it all requests that it had passed on.

#include <algorithm>
#include <iostream>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "../standins-2/Deployment.hh"
#include "../standins-2/Fleet.hh"
#include "../standins-2/Replica.hh"

namespace {

using namespace review;

constexpr std::size_t kNodes = 3;
constexpr std::size_t kReplicas = 4;
constexpr std::size_t kClientsPerNode = 8;
constexpr std::int64_t kDeadlineMs = 1500;
constexpr std::int64_t kCalmMs = 5000;
constexpr std::int64_t kWatchMs = 6000;
/// The platform starts a process that has ended again after a short delay.
constexpr std::int64_t kRestartMs = 1000;
constexpr std::int64_t kMaxHeaderBytes = 131072;
constexpr std::size_t kLargeHeaderBytes = 70000;
constexpr std::size_t kUsualHeaderBytes = 100;
/// The rule excuses this many requests.
constexpr int kExcused = 3;

struct Attempt
{
    std::string id;
    std::size_t node = 0;
    std::int64_t sentMs = 0;
    /// Whether requests had been answered on the connection before.
    bool isOnKeptConnection = false;
    bool isAnswered = false;
    /// The node closed the connection without a byte of an answer.
    bool isClosed = false;
};

class Clients
{
public:
    explicit Clients(const Fleet &fleet)
        : fleet_(fleet)
    {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            for (std::size_t client = 0; client < kClientsPerNode; ++client)
                threads_.emplace_back([this, node, client] { run(node, client); });
        }
    }

    ~Clients() { stop(); }

    void stop()
    {
        isStopped_ = true;
        for (std::thread &thread : threads_) {
            if (thread.joinable())
                thread.join();
        }
    }

    std::vector<Attempt> attempts() const { return attempts_; }

private:
    void run(std::size_t node, std::size_t client)
    {
        constexpr std::int64_t kIntervalMs = 300;
        Connection connection {Socket()};
        int answered = 0;
        sleepMs(static_cast<std::int64_t>(client) * 30);
        for (int number = 0; !isStopped_; ++number) {
            const std::int64_t next = nowMs() + kIntervalMs;
            if (!connection.socket().isOpen() || connection.isClosedByPeer()) {
                connection = Connection(connectTo(fleet_.ip(node), fleet_.callerPort(), 1000));
                answered = 0;
            }
            if (connection.socket().isOpen()) {
                Attempt attempt {"n" + std::to_string(node) + "-c" + std::to_string(client) + "-"
                                     + std::to_string(number),
                                 node, nowMs(), answered > 0};
                if (connection.write(formatRequest("POST", "/hold/" + attempt.id, attempt.id,
                                                   kDeadlineMs, "hold"))) {
                    const Response response = connection.readResponse(kDeadlineMs);
                    attempt.isAnswered = response.isComplete;
                    attempt.isClosed = !response.isBegun && connection.isClosedByPeer();
                }
                if (attempt.isAnswered)
                    ++answered;
                else
                    connection.socket().close();
                const std::lock_guard lock(mutex_);
                attempts_.push_back(attempt);
            }
            sleepMs(next - nowMs());
        }
    }

    const Fleet &fleet_;
    std::atomic<bool> isStopped_ = false;
    std::mutex mutex_;
    std::vector<Attempt> attempts_;
    std::vector<std::thread> threads_;
};

/// Sends the safe request as a client without a key; returns whether it was answered.
bool sendLargeRequest(const Fleet &fleet, std::size_t node, std::size_t bytes, Record &record)
{
    const std::string id = "large-" + std::to_string(node);
    std::string request = formatRequest("GET", "/check/" + id, id, kDeadlineMs, "");
    const std::size_t start = request.find("Authorization");
    request.replace(start, request.find("\r\n", start) - start,
                    "X-Note: " + std::string(bytes, 'n'));
    Connection connection(connectTo(fleet.ip(node), fleet.callerPort(), 1000));
    if (!connection.socket().isOpen())
        return false;
    connection.write(request);
    const Response response = connection.readResponse(kDeadlineMs);
    record.line("request with a header of " + std::to_string(bytes) + " bytes to "
                + fleet.name(node) + ": "
                + (response.isComplete ? "status " + std::to_string(response.status)
                                       : "the connection ended without an answer"));
    return response.isComplete;
}

int check(const std::vector<Attempt> &attempts, const RunLog &log, const Fleet &fleet,
          Record &record)
{
    const std::vector<Run> runs = log.runs();
    bool isBroken = false;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        int lost = 0;
        for (const Attempt &attempt : attempts) {
            if (attempt.node != node || !attempt.isOnKeptConnection || !attempt.isClosed
                || std::ranges::find(runs, attempt.id, &Run::id) == runs.end())
                continue;
            ++lost;
            record.line("request " + attempt.id + " sent at " + std::to_string(attempt.sentMs)
                        + " has run; its kept connection was closed without an answer");
        }
        record.line(fleet.name(node) + ": " + std::to_string(lost)
                    + " requests passed on and left without an answer");
        isBroken = isBroken || lost > kExcused;
    }
    return isBroken ? Broken : Held;
}

int runCase(const std::string &folder, Record &record)
{
    RunLog runs;
    Store store("127.78.0.1");
    boost::json::value configuration = makeConfiguration(1);
    configuration.at("limits").as_object()["max-header-bytes"] = kMaxHeaderBytes;
    store.put("config", "main", configuration);
    std::vector<std::unique_ptr<Replica>> replicas;
    for (std::size_t i = 0; i < kReplicas; ++i)
        replicas.push_back(
            std::make_unique<Replica>(Replica::Options {.id = "i-" + std::to_string(i),
                                                        .service = "yardbook",
                                                        .ip = "127.78.1." + std::to_string(1 + i),
                                                        .workMs = 250},
                                      store, runs));
    Fleet fleet({.nodes = kNodes, .platform = store.address()}, folder);
    for (std::size_t i = 0; i < kNodes; ++i)
        fleet.start(i);
    if (!fleet.waitUntilReady(15000))
        return CouldNotRun;
    sleepMs(2000);
    Clients clients(fleet);
    sleepMs(kCalmMs);

    const std::size_t bytes = isWithoutTrouble() ? kUsualHeaderBytes : kLargeHeaderBytes;
    // Clients repeat a safe request once, on a new connection, here to the next address.
    if (!sendLargeRequest(fleet, 0, bytes, record))
        sendLargeRequest(fleet, 1, bytes, record);
    sleepMs(kRestartMs);
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (fleet.isRunning(node))
            continue;
        record.line(fleet.name(node) + " has ended by itself: " + fleet.endOf(node));
        fleet.start(node);
    }
    sleepMs(kWatchMs);
    clients.stop();
    return check(clients.attempts(), runs, fleet, record);
}

} // namespace

int main(int, char **arguments)
{
    review::Record record(arguments[2]);
    const int result = runCase(arguments[1], record);
    std::cout << (result == Held         ? "held"
                      : result == Broken ? "broken"
                                         : "could not run")
              << std::endl;
    return result;
}
