// The leader stands still for a second and goes on. Nodes whose report it answers after they had
// given it up lose the placements of all engines: they serve no request for a model any more. The
// route to the engines is one that a later configuration added.

#include <algorithm>
#include <csignal>
#include <iostream>

#include <boost/json/value.hpp>

#include "../standins-2/Deployment.hh"
#include "../standins-2/Fleet.hh"
#include "../standins-2/Replica.hh"

namespace {

using namespace review;

constexpr std::size_t kNodes = 7;
constexpr std::int64_t kDeadlineMs = 6000;
constexpr std::int64_t kPlainDeadlineMs = 1500;
constexpr std::int64_t kCalmMs = 6000;
/// How long the leader stands still, once; the site file freezes it for 4 s.
constexpr std::int64_t kFreezeMs = 1080;
/// `recovery-s` of the small deployments, far longer than their `contact-ms` of 3,000.
constexpr std::int64_t kRecoveryMs = 12000;
constexpr std::int64_t kWatchMs = 12000;
/// Fewer requests on the added routes are not judged.
constexpr int kMinRequests = 20;

struct Attempt
{
    std::string id;
    std::size_t node = 0;
    bool isOnAddedRoute = false;
    std::int64_t sentMs = 0;
    int status = 0;
};

/// Sends requests at a fixed rate to each node, however long the answers take.
class Clients
{
public:
    explicit Clients(const Fleet &fleet)
        : fleet_(fleet)
    {
        for (std::size_t node = 0; node < fleet.size(); ++node)
            threads_.emplace_back([this, node] { run(node); });
    }

    ~Clients() { stop(); }

    /// Returns when all requests have been answered or have run out of time.
    void stop()
    {
        isStopped_ = true;
        for (std::thread &thread : threads_) {
            if (thread.joinable())
                thread.join();
        }
        while (open_ > 0)
            sleepMs(5);
    }

    std::vector<Attempt> attempts() const { return attempts_; }

private:
    void run(std::size_t node)
    {
        std::int64_t next = nowMs() + static_cast<std::int64_t>(node) * kIntervalMs / 7;
        for (int number = 0; !isStopped_; ++number, next += kIntervalMs) {
            sleepMs(next - nowMs());
            ++open_;
            std::thread([this, node, number] {
                send(node, number);
                --open_;
            }).detach();
        }
    }

    void send(std::size_t node, int number)
    {
        // A quarter of the requests of the site are for plain services.
        const bool isPlain = number % 4 == 3;
        Attempt attempt {"n" + std::to_string(node) + "-" + std::to_string(number), node, !isPlain,
                         nowMs(), 0};
        const std::int64_t deadlineMs = isPlain ? kPlainDeadlineMs : kDeadlineMs;
        std::string request = formatRequest("POST", (isPlain ? "/hold/" : "/note/") + attempt.id,
                                            attempt.id, deadlineMs, "body");
        if (!isPlain)
            request.insert(request.find("Authorization"),
                           std::string("X-Model: ") + (number % 2 == 0 ? "m0" : "m1")
                               + "\r\nX-Token-Usage: 646,70\r\nX-Prompt-Prefix: 5c1e07a2:155,"
                               + std::to_string(1000 + number) + ":491\r\n");
        Connection connection(connectTo(fleet_.ip(node), fleet_.callerPort(), 1000));
        if (connection.socket().isOpen() && connection.write(request)) {
            const Response response = connection.readResponse(deadlineMs + 500);
            if (response.isComplete)
                attempt.status = response.status;
        }
        const std::lock_guard lock(mutex_);
        attempts_.push_back(attempt);
    }

    /// The 96 requests a second of the site over its seven machines.
    static constexpr std::int64_t kIntervalMs = 73;

    const Fleet &fleet_;
    std::atomic<bool> isStopped_ = false;
    std::atomic<int> open_ = 0;
    std::mutex mutex_;
    std::vector<Attempt> attempts_;
    std::vector<std::thread> threads_;
};

struct Share
{
    int sent = 0;
    int served = 0;

    double value() const { return sent == 0 ? 1 : static_cast<double>(served) / sent; }
};

/// Requests of the node, or of all nodes, that were sent in the span.
Share shareOf(const std::vector<Attempt> &attempts, std::size_t node, bool isOnAddedRoute,
              std::int64_t from, std::int64_t to)
{
    Share share;
    for (const Attempt &attempt : attempts) {
        if ((node != kNodes && attempt.node != node) || attempt.isOnAddedRoute != isOnAddedRoute
            || attempt.sentMs < from || attempt.sentMs > to)
            continue;
        ++share.sent;
        share.served += attempt.status == 200 ? 1 : 0;
    }
    return share;
}

/// Returns whether the requests on added routes are served less than a quarter as often.
bool compare(const std::vector<Attempt> &attempts, std::size_t node, std::int64_t from,
             std::int64_t to, const std::string &label, Record &record)
{
    const Share first = shareOf(attempts, node, false, from, to);
    const Share added = shareOf(attempts, node, true, from, to);
    record.line(label + ": " + std::to_string(first.served) + " of " + std::to_string(first.sent)
                + " requests served on the first routes, " + std::to_string(added.served) + " of "
                + std::to_string(added.sent) + " on the added route");
    return added.sent >= kMinRequests && added.value() * 4 < first.value();
}

std::size_t leaderOf(Store &store, const Fleet &fleet)
{
    const auto lease = store.get("coordination", "lease");
    return lease.is_object() ? fleet.indexOf(lease.at("holder").as_string().c_str()) : fleet.size();
}

int runCase(const std::string &folder, Record &record)
{
    RunLog runs;
    Store store("127.78.0.1");
    store.put("config", "main", makeConfiguration(1, false));
    std::vector<std::unique_ptr<Replica>> replicas;
    const auto addReplica = [&](const std::string &service, std::int64_t workMs, std::int64_t slots,
                                const std::set<std::string> &models) {
        const std::size_t number = replicas.size();
        replicas.push_back(std::make_unique<Replica>(
            Replica::Options {.id = "i-" + std::to_string(number),
                              .service = service,
                              .ip = "127.78.1." + std::to_string(1 + number),
                              .workMs = workMs,
                              .slots = slots,
                              .models = models},
            store, runs));
    };
    for (int i = 0; i < 4; ++i)
        addReplica("yardbook", 60, 6, {});
    for (int i = 0; i < 3; ++i)
        addReplica("assessor", 280, 64, {"m0", "m1"});
    Fleet fleet({.nodes = kNodes, .platform = store.address()}, folder);
    for (std::size_t i = 0; i < kNodes; ++i)
        fleet.start(i);
    if (!fleet.waitUntilReady(15000))
        return CouldNotRun;
    sleepMs(3000);
    store.put("config", "main", makeConfiguration(2, true));
    record.line("configuration 2 adds the route to the engines");
    sleepMs(3000);
    Clients clients(fleet);
    const std::int64_t begin = nowMs();
    sleepMs(kCalmMs);
    const std::int64_t calmEnd = nowMs() - 1000;

    const std::size_t leader = leaderOf(store, fleet);
    if (leader == kNodes)
        return CouldNotRun;
    if (!isWithoutTrouble()) {
        fleet.signal(leader, SIGSTOP);
        record.line("frozen " + fleet.name(leader) + ", the leader");
        sleepMs(kFreezeMs);
        fleet.signal(leader, SIGCONT);
        record.line("thawed " + fleet.name(leader));
    }
    sleepMs(kRecoveryMs);
    const std::int64_t from = nowMs();
    sleepMs(kWatchMs);
    const std::int64_t to = nowMs();
    for (std::size_t node = 0; node < kNodes; ++node)
        record.line(fleet.name(node) + (fleet.isReady(node) ? " is ready" : " is not ready")
                    + (node == leaderOf(store, fleet) ? " and leads" : ""));
    clients.stop();
    const auto attempts = clients.attempts();
    const bool wasBroken = compare(attempts, kNodes, begin, calmEnd, "before, all nodes", record);
    for (std::size_t node = 0; node < kNodes; ++node)
        compare(attempts, node, from, to, "later than recovery-s, " + fleet.name(node), record);
    const bool isBroken =
        compare(attempts, kNodes, from, to, "later than recovery-s, all nodes", record);
    if (wasBroken)
        return CouldNotRun;
    return isBroken ? Broken : Held;
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
