#include "Deployment.hh"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr Milliseconds kStartTimeout(15000);
constexpr Milliseconds kPollInterval(50);

/// The value of `run` of the only role in the deploy file, split at spaces.
std::vector<std::string> deployedCommand()
{
    std::ifstream file("deploy/system.toml");
    const std::string prefix = "run = \"";
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with(prefix))
            continue;
        std::istringstream words(line.substr(prefix.size(), line.rfind('"') - prefix.size()));
        std::vector<std::string> command;
        for (std::string word; words >> word;)
            command.push_back(word);
        return command;
    }
    throw std::runtime_error("deploy/system.toml has no command");
}

/// The settings of deploy/gateway.json with the bounds of the site crsa-yard.
std::string settingsOf(const std::string &name, const std::string &callers,
                       const std::string &ready, const std::string &store)
{
    std::ostringstream text;
    text << "{\"instance\": \"" << name << "\", \"dataCentre\": \"zone-a\""
         << ", \"callerListen\": \"" << callers << "\", \"readyListen\": \"" << ready << "\""
         << ", \"directoryListen\": \"" << freeAddress() << "\""
         << ", \"peerListen\": \"" << freeAddress() << "\""
         << ", \"metricsListen\": \"" << freeAddress() << "\""
         << ", \"platform\": \"" << store << "\", \"revocationMs\": 5000"
         << ", \"orderHandoverMs\": 3000, \"stopTimeoutMs\": 8000, \"retryRatio\": 0.2"
         << ", \"retrySlack\": 54, \"retryWindowMs\": 10000, \"quotaTolerance\": 110000"
         << ", \"processorShare\": 0.25, \"chartsDirectory\": \"charts\"}\n";
    return text.str();
}

} // namespace

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
    if (!file_)
        throw std::runtime_error("cannot write " + path);
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    const double seconds = std::chrono::duration<double>(SteadyClock::now() - startedAt_).count();
    std::fprintf(file_, "%8.3f %s\n", seconds, line.c_str());
    std::fflush(file_);
}

Node::Node(const std::string &directory, const std::string &name, const std::string &store)
    : directory_(directory)
    , name_(name)
    , callers_(freeAddress())
    , ready_(freeAddress())
{
    std::ofstream(directory_ + "/" + name_ + ".json") << settingsOf(name, callers_, ready_, store);
    start();
}

Node::~Node()
{
    kill();
}

void Node::kill()
{
    if (process_ < 0)
        return;
    // Also ends a stopped process.
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
}

bool Node::waitForEnd(Milliseconds timeout)
{
    const auto end = SteadyClock::now() + timeout;
    while (waitpid(process_, nullptr, WNOHANG) == 0) {
        if (SteadyClock::now() >= end)
            return false;
        std::this_thread::sleep_for(kPollInterval);
    }
    process_ = -1;
    return true;
}

void Node::start()
{
    const std::vector<std::string> command = deployedCommand();
    process_ = fork();
    if (process_ < 0)
        throw std::runtime_error("cannot start a process");
    if (process_ > 0)
        return;
    setenv("BORAGERACK_SETTINGS", (directory_ + "/" + name_ + ".json").c_str(), 1);
    const std::string log = directory_ + "/" + name_ + ".log";
    const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    std::vector<char *> arguments;
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
}

bool Node::isReady() const
{
    return call(ready_, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", Milliseconds(1000)).status
        == 200;
}

void Node::waitUntilReady() const
{
    const auto end = SteadyClock::now() + kStartTimeout;
    while (!isReady()) {
        if (SteadyClock::now() >= end)
            throw std::runtime_error("the node " + name_ + " does not become ready");
        std::this_thread::sleep_for(kPollInterval);
    }
}

void Node::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

Deployment::Deployment()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create a temporary folder");
    directory_ = pattern;
}

Deployment::~Deployment()
{
    nodes_.clear();
    if (std::getenv("KEEP_LOGS"))
        std::cerr << "logs: " << directory_ << std::endl;
    else
        std::filesystem::remove_all(directory_);
}

Node &Deployment::addNode(const std::string &name)
{
    nodes_.push_back(std::make_unique<Node>(directory_, name, store_.address()));
    nodes_.back()->waitUntilReady();
    return *nodes_.back();
}

int runCase(int argc, char **argv, Outcome (*run)(Record &))
{
    try {
        if (argc != 2)
            throw std::runtime_error("usage: case RECORD-FILE");
        Record record(argv[1]);
        const Outcome outcome = run(record);
        record.write(outcome == Broken     ? "the rule was broken"
                         : outcome == Held ? "the rule held"
                                           : "the case could not run");
        return outcome;
    } catch (const std::exception &error) {
        std::cerr << "the case could not run: " << error.what() << std::endl;
        return NotRun;
    }
}

} // namespace review
