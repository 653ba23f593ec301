// A node freezes while a replica runs a request for it that uses an adapter. Meanwhile another
// adapter is asked for at the other node. Shows whether the replica is ordered to hold more
// adapters than it has places.

#include <csignal>
#include <thread>

#include <boost/json/array.hpp>

#include "ModelReplica.hh"

namespace {

using namespace review;

constexpr unsigned kDeadlineMs = 17000;
constexpr Milliseconds kBeforeFreeze(1000);
constexpr Milliseconds kFreezeBeforeRequest(2500);
constexpr Milliseconds kFreezeAfterRequest(1500);

std::string streamRequest(const std::string &attempt, const std::string &artifact)
{
    return clientRequest("POST", "/notes/new", attempt, kDeadlineMs,
                         {{"X-Model", artifact}, {"X-Token-Usage", "646,80"}}, "a note");
}

Response send(Record &record, const Node &node, const std::string &attempt,
              const std::string &artifact)
{
    record.write("client asks " + node.name() + " for " + attempt + " with " + artifact);
    const Response response =
        Client(node.callers()).send(streamRequest(attempt, artifact), Milliseconds(kDeadlineMs));
    record.write("client gets " + std::to_string(response.status) + " for " + attempt + ", "
                 + (response.isComplete ? "complete" : "incomplete"));
    return response;
}

Outcome run(Record &record)
{
    Deployment deployment;
    ModelService service;
    service.models = {{"m0", 42700, 32}};
    deployment.store().put("config", "main",
                           makeConfiguration({{.name = "lot-offer",
                                               .prefix = "/notes/",
                                               .kind = "streaming",
                                               .service = service.name,
                                               .timeoutMs = kDeadlineMs}},
                                             {service.configuration()}));
    // All places for adapters are taken.
    ModelReplica replica(deployment.store(), record, service,
                         {{"m0", {"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}}});
    const Node &first = deployment.addNode("front-1");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const Node &second = deployment.addNode("front-2");
    std::this_thread::sleep_for(std::chrono::seconds(1));

    Response firstAnswer;
    std::thread firstClient([&] { firstAnswer = send(record, second, "offer-1", "m0/a1"); });
    std::this_thread::sleep_for(kBeforeFreeze);
    if (hasTrouble()) {
        record.write(second.name() + " freezes");
        second.signal(SIGSTOP);
    }
    std::this_thread::sleep_for(kFreezeBeforeRequest);
    Response secondAnswer;
    std::thread secondClient([&] { secondAnswer = send(record, first, "offer-2", "m0/a9"); });
    std::this_thread::sleep_for(kFreezeAfterRequest);
    if (hasTrouble()) {
        record.write(second.name() + " wakes again");
        second.signal(SIGCONT);
    }
    firstClient.join();
    secondClient.join();
    record.write("lost runs: " + std::to_string(replica.lostRuns()));
    if (replica.isOverLimit())
        return Broken;
    return firstAnswer.status == 200 && secondAnswer.status == 200 ? Held : NotRun;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
