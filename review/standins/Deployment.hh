// A small deployment on loopback: the store, the project's own processes and the record of a case.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Store.hh"

namespace review {

/// Exit codes of a case.
enum Outcome { Held = 0, Broken = 1, NotRun = 2 };

/// False if TROUBLE=0, which asks for a run without the disruption.
bool hasTrouble();

/// Writes what was sent, answered and run, with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();

    void write(const std::string &line);

private:
    std::mutex mutex_;
    SteadyClock::time_point startedAt_ = SteadyClock::now();
    std::FILE *file_;
};

/// One process of the project, started with the command of deploy/system.toml.
class Node
{
public:
    Node(const std::string &directory, const std::string &name, const std::string &store);
    ~Node();

    const std::string &name() const { return name_; }
    const std::string &callers() const { return callers_; }
    bool isReady() const;
    /// Throws if the node does not become ready.
    void waitUntilReady() const;
    void signal(int number) const;
    /// Kills the process.
    void kill();
    /// Waits for the end of the process; false if it still runs after this time.
    bool waitForEnd(Milliseconds timeout);
    /// Starts the process, with the same settings each time.
    void start();

private:
    std::string directory_;
    std::string name_;
    std::string callers_;
    std::string ready_;
    pid_t process_ = -1;
};

/// Removes its temporary folder when destroyed.
class Deployment
{
public:
    Deployment();
    ~Deployment();

    Store &store() { return store_; }
    /// Starts a node and waits until it is ready; throws if it does not become ready.
    Node &addNode(const std::string &name);
    Node &node(std::size_t index) { return *nodes_[index]; }

private:
    std::string directory_;
    Store store_;
    std::vector<std::unique_ptr<Node>> nodes_;
};

/// Runs a case; returns its exit code, which is NotRun if it throws.
int runCase(int argc, char **argv, Outcome (*run)(Record &));

} // namespace review
