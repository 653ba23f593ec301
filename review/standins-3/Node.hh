#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <sys/types.h>

namespace review {

/// The repository, the folder of the case, and a temporary folder for settings and logs.
struct Folders
{
    std::string repository;
    std::string scenario;
    std::string temporary;
};

/// Fields of the platform's settings as JSON, by their path in the template.
using Fields = std::map<std::string, std::string>;

/// Settings of a small deployment, with free ports of 127.0.0.1.
Fields makeFields(const std::string &name, std::uint16_t storePort);
/// Fills the template of the deploy file in.
std::string renderTemplate(const std::string &text, const Fields &fields);

/// A process of the deploy file's role. It is killed at the end.
class Node
{
public:
    Node(const Folders &folders, std::string name, Fields fields);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node();

    /// Writes the settings as the platform does at every start and with each change.
    void writeSettings() const;
    void start();
    void signal(int number) const;
    /// The exit status once the process has ended; -1 while it runs.
    int poll();
    const std::string &name() const { return name_; }
    std::uint16_t port(const std::string &field) const;
    Fields &fields() { return fields_; }
    std::string logPath() const;

private:
    std::string settingsPath() const;

    Folders folders_;
    std::string name_;
    Fields fields_;
    pid_t pid_ = -1;
};

/// Status of GET on a path of a port; 0 without an answer.
int getStatus(std::uint16_t port, const std::string &path);

} // namespace review
