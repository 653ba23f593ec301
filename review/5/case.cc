// A request crashes each replica that runs it, and its client sends it again and again. After the
// third crash all processes of the system are killed at the same moment and start again, twice.
// Counts how often the request reaches replicas later.

#include <atomic>
#include <csignal>
#include <thread>

#include <boost/json/array.hpp>

#include "Replica.hh"

namespace {

using namespace review;

constexpr unsigned kDeadlineMs = 1500;
constexpr Milliseconds kWork(60);
constexpr Milliseconds kHoldPause(100);
/// How long a replica is away after a crash.
constexpr Milliseconds kDowntime(3000);
/// The client repeats the request in this interval.
constexpr Milliseconds kInterval(4000);
/// `contact-ms`: processes that ran for this long count as in touch.
constexpr Milliseconds kContact(3000);
constexpr Milliseconds kMargin(500);
constexpr Milliseconds kKillLength(1000);
constexpr Milliseconds kCountedLength(12000);
constexpr int kCrashesBefore = 3;
constexpr int kKills = 2;
constexpr int kHoldClientsPerNode = 2;
/// Retries that are allowed later than `contact-ms` after the third crash.
constexpr int kAllowedRetries = 3;
const std::string kCrashingPath = "/stock/crashing";

class Yardbook
{
public:
    Yardbook(Store &store, Record &record, const std::string &id)
        : record_(record)
        , replica_(store, id, "yardbook", 6,
                   [this](Connection &connection, const Request &request) {
                       return serve(connection, request);
                   })
    {
    }

    int crashes() const { return replica_.crashes(); }
    int lostRuns() const { return lostRuns_; }

private:
    bool serve(Connection &connection, const Request &request)
    {
        const std::string attempt = header(request.headers, "X-Attempt-Id");
        const int crashesBefore = replica_.crashes();
        if (request.target == kCrashingPath) {
            record_.write("replica " + replica_.id() + " runs " + attempt + " and crashes");
            replica_.crash(kDowntime);
        } else {
            std::this_thread::sleep_for(kWork);
        }
        if (replica_.crashes() == crashesBefore)
            return connection.send(render(200, answerHeaders(replica_, request), "done"));
        if (request.target != kCrashingPath) {
            ++lostRuns_;
            record_.write("run of " + attempt + " is lost");
        }
        return false;
    }

    Record &record_;
    std::atomic<int> lostRuns_ = 0;
    Replica replica_;
};

class Case
{
public:
    explicit Case(Record &record)
        : record_(record)
    {
        deployment_.store().put("config", "main",
                                makeConfiguration({{.name = "stock-check",
                                                    .prefix = "/stock/",
                                                    .kind = "safe",
                                                    .service = "yardbook",
                                                    .maxAttempts = 2},
                                                   {.name = "stack-hold",
                                                    .prefix = "/holds/",
                                                    .kind = "unsafe",
                                                    .service = "yardbook"}},
                                                  {plainService("yardbook")}));
        for (const char *id : {"i-1", "i-2", "i-3", "i-4"})
            replicas_.push_back(std::make_unique<Yardbook>(deployment_.store(), record_, id));
        for (const char *name : {"front-1", "front-2"})
            nodes_.push_back(&deployment_.addNode(name));
    }

    Outcome run()
    {
        std::vector<std::thread> clients;
        for (const Node *node : nodes_) {
            for (int i = 0; i < kHoldClientsPerNode; ++i)
                clients.emplace_back([this, node, i] { sendHolds(*node, i); });
        }
        std::this_thread::sleep_for(kContact + kMargin);
        while (crashes() < kCrashesBefore && sent_ < 3 * kCrashesBefore)
            sendCrashingRequest();
        std::this_thread::sleep_for(kContact + kMargin);
        const int before = crashes();
        record_.write("later than contact-ms after the third crash");
        int retries = 0;
        for (int i = 0; i < kKills; ++i) {
            if (hasTrouble())
                killAll();
            const auto end = SteadyClock::now() + kCountedLength;
            while (SteadyClock::now() < end)
                retries += sendCrashingRequest() ? 1 : 0;
        }
        areClientsRunning_ = false;
        for (std::thread &client : clients)
            client.join();

        int lostRuns = 0;
        for (const auto &replica : replicas_)
            lostRuns += replica->lostRuns();
        record_.write("crashes before " + std::to_string(before) + ", later "
                      + std::to_string(crashes() - before) + " in " + std::to_string(retries)
                      + " retries that reached replicas, lost runs of other requests "
                      + std::to_string(lostRuns));
        if (before < kCrashesBefore)
            return NotRun;
        return retries > kAllowedRetries ? Broken : Held;
    }

private:
    int crashes() const
    {
        int sum = 0;
        for (const auto &replica : replicas_)
            sum += replica->crashes();
        return sum;
    }

    /// Whether the request reached a replica.
    bool sendCrashingRequest()
    {
        const int crashesBefore = crashes();
        const Node &node = *nodes_[sent_ % nodes_.size()];
        const std::string attempt = "crashing-" + std::to_string(++sent_);
        const auto next = SteadyClock::now() + kInterval;
        const Response response =
            call(node.callers(), clientRequest("GET", kCrashingPath, attempt, kDeadlineMs),
                 Milliseconds(kDeadlineMs));
        record_.write("client gets " + std::to_string(response.status) + " for " + attempt
                      + " from " + node.name());
        std::this_thread::sleep_until(next);
        return crashes() > crashesBefore;
    }

    void killAll()
    {
        record_.write("all processes of the system are killed");
        for (Node *node : nodes_)
            node->signal(SIGKILL);
        std::this_thread::sleep_for(kKillLength);
        for (Node *node : nodes_) {
            node->kill();
            node->start();
        }
        for (const Node *node : nodes_)
            node->waitUntilReady();
        record_.write("the processes are ready again");
        std::this_thread::sleep_for(kContact + kMargin);
    }

    void sendHolds(const Node &node, int number)
    {
        Client client(node.callers());
        for (int i = 0; areClientsRunning_; ++i) {
            const std::string attempt =
                node.name() + "-hold-" + std::to_string(number) + "-" + std::to_string(i);
            const Response response =
                client.send(clientRequest("POST", "/holds/new", attempt, kDeadlineMs, {}, "stack"),
                            Milliseconds(kDeadlineMs));
            record_.write("client gets " + std::to_string(response.status) + " for " + attempt);
            std::this_thread::sleep_for(kHoldPause);
        }
    }

    Record &record_;
    Deployment deployment_;
    std::vector<std::unique_ptr<Yardbook>> replicas_;
    std::vector<Node *> nodes_;
    std::size_t sent_ = 0;
    std::atomic<bool> areClientsRunning_ = true;
};

Outcome run(Record &record)
{
    return Case(record).run();
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
