// A replica that is full refuses a request, and sends the refusal again where the answer to the
// next request on the same connection is due. Counts how often each request runs.

#include <map>
#include <random>
#include <thread>

#include <boost/json/array.hpp>

#include "Replica.hh"

namespace {

using namespace review;

constexpr std::chrono::seconds kLength(45);
constexpr Milliseconds kWork(3);
constexpr unsigned kDeadlineMs = 1500;
/// Share of arrivals that find the replica full.
constexpr double kFullShare = 0.14;
/// Share of the faulty replica's answers that it sends a second time, and when it does so.
constexpr double kRepeatedShare = 0.03;
constexpr Milliseconds kFaultLength(5500);
constexpr Milliseconds kFaultInterval(8000);

class Yardbook
{
public:
    Yardbook(Store &store, Record &record, const std::string &id, bool isFaulty)
        : record_(record)
        , isFaulty_(isFaulty)
        , replica_(store, id, "yardbook", 6,
                   [this](Connection &connection, const Request &request) {
                       return serve(connection, request);
                   })
    {
    }

    int runsOf(const std::string &attempt) const
    {
        const auto found = runs_.find(attempt);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    bool isFaultyNow() const
    {
        return isFaulty_ && (SteadyClock::now() - startedAt_) % kFaultInterval < kFaultLength;
    }

    bool serve(Connection &connection, const Request &request)
    {
        const std::string attempt = header(request.headers, "X-Attempt-Id");
        std::string earlier;
        bool isFull = false;
        bool isSentAgain = false;
        {
            const std::lock_guard lock(mutex_);
            earlier = std::exchange(unsent_[connection.number()], {});
            isFull = share_(random_) < kFullShare;
            isSentAgain = share_(random_) < kRepeatedShare && isFaultyNow();
            runs_[attempt] += isFull ? 0 : 1;
        }
        if (!earlier.empty()) {
            record_.write("replica " + replica_.id() + " sends its previous answer again");
            if (!connection.send(earlier))
                return false;
        }
        record_.write("replica " + replica_.id() + (isFull ? " refuses " : " runs ") + attempt);
        if (!isFull)
            std::this_thread::sleep_for(kWork);
        const std::string answer = isFull
            ? render(503, refusalHeaders(request), "")
            : render(200, answerHeaders(replica_, request), "held " + attempt);
        if (isSentAgain) {
            const std::lock_guard lock(mutex_);
            unsent_[connection.number()] = answer;
        }
        return connection.send(answer);
    }

    Record &record_;
    const bool isFaulty_;
    const SteadyClock::time_point startedAt_ = SteadyClock::now();
    std::mutex mutex_;
    std::mt19937 random_ {30};
    std::uniform_real_distribution<double> share_ {0, 1};
    std::map<std::string, int> runs_;
    std::map<std::uint64_t, std::string> unsent_;
    Replica replica_;
};

/// Sends requests one after the other; returns the status of each.
std::map<std::string, int> sendRequests(Record &record, const Node &node)
{
    std::map<std::string, int> statuses;
    Client client(node.callers());
    const auto end = SteadyClock::now() + kLength;
    for (int i = 0; SteadyClock::now() < end; ++i) {
        const std::string attempt = node.name() + "-hold-" + std::to_string(i);
        const int status =
            client
                .send(clientRequest("POST", "/holds/new", attempt, kDeadlineMs, {}, "stack 7"),
                      Milliseconds(kDeadlineMs))
                .status;
        record.write("client gets " + std::to_string(status) + " for " + attempt);
        statuses[attempt] = status;
    }
    return statuses;
}

Outcome run(Record &record)
{
    Deployment deployment;
    deployment.store().put(
        "config", "main",
        makeConfiguration(
            {{.name = "stack-hold", .prefix = "/holds/", .kind = "unsafe", .service = "yardbook"}},
            {plainService("yardbook")}));
    Yardbook faulty(deployment.store(), record, "i-1", hasTrouble());
    Yardbook sound(deployment.store(), record, "i-2", false);
    const Node &first = deployment.addNode("front-1");
    const Node &second = deployment.addNode("front-2");
    std::map<std::string, int> statuses;
    std::thread firstClient([&] { statuses = sendRequests(record, first); });
    std::map<std::string, int> others = sendRequests(record, second);
    firstClient.join();
    statuses.merge(others);

    int served = 0;
    int ranTwice = 0;
    int refusedButRan = 0;
    for (const auto &[attempt, status] : statuses) {
        const int runs = faulty.runsOf(attempt) + sound.runsOf(attempt);
        const bool isRefused = status == 429 || status == 503 || status == 408 || status == 421;
        served += status == 200 ? 1 : 0;
        ranTwice += runs > 1 ? 1 : 0;
        refusedButRan += isRefused && runs > 0 ? 1 : 0;
        if (runs > 1 || (isRefused && runs > 0))
            record.write("broken: " + attempt + " ran " + std::to_string(runs)
                         + " times and was answered " + std::to_string(status));
    }
    record.write("requests " + std::to_string(statuses.size()) + ", served "
                 + std::to_string(served) + ", run more than once " + std::to_string(ranTwice)
                 + ", refused and run " + std::to_string(refusedButRan));
    if (served == 0)
        return NotRun;
    return ranTwice + refusedButRan > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
