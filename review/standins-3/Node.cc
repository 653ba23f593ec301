#include "Node.hh"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Http.hh"

namespace review {

namespace {

std::string quote(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string unquote(const std::string &text)
{
    return text.size() > 1 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Fields makeFields(const std::string &name, std::uint16_t storePort)
{
    const auto address = [](std::uint16_t port) {
        return quote("127.0.0.1:" + std::to_string(port));
    };
    return {{"node", quote(name)},
            {"zone", quote("zone-a")},
            {"ip", quote("127.0.0.1")},
            {"listen.front", address(freePort())},
            {"listen.ready", address(freePort())},
            {"listen.directory", address(freePort())},
            {"port-range.0", std::to_string(freePort())},
            {"port-range.1", std::to_string(freePort())},
            {"platform.address", address(storePort)},
            {"bounds.revoke-ms", "5000"},
            {"bounds.lease-ms", "3000"},
            {"bounds.grace-s", "8"},
            {"bounds.retry-budget-ratio", "0.2"},
            {"bounds.budget-slack", "54"},
            {"bounds.budget-window-s", "10"},
            {"bounds.quota-slack", "110000"},
            {"limits.cpu-share", "0.25"},
            {"limits.memory-mb", "260"}};
}

std::string renderTemplate(const std::string &text, const Fields &fields)
{
    std::string result;
    std::size_t position = 0;
    while (true) {
        const std::size_t begin = text.find("{{", position);
        if (begin == std::string::npos)
            return result + text.substr(position);
        result += text.substr(position, begin - position);
        const std::size_t end = text.find("}}", begin);
        std::string name = text.substr(begin + 2, end - begin - 2);
        position = end + 2;
        if (name.starts_with("#")) {
            const std::string close = "{{/" + name.substr(1) + "}}";
            const std::size_t closeAt = text.find(close, position);
            if (fields.contains(name.substr(1)))
                result += renderTemplate(text.substr(position, closeAt - position), fields);
            position = closeAt + close.size();
            continue;
        }
        const bool isJson = name.ends_with("|json");
        if (isJson)
            name.resize(name.size() - 5);
        const auto field = fields.find(name);
        if (field != fields.end())
            result += isJson ? field->second : unquote(field->second);
    }
}

Node::Node(const Folders &folders, std::string name, Fields fields)
    : folders_(folders)
    , name_(std::move(name))
    , fields_(std::move(fields))
{
}

Node::~Node()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

std::string Node::logPath() const
{
    return folders_.temporary + "/" + name_ + ".log";
}

std::string Node::settingsPath() const
{
    return folders_.temporary + "/" + name_ + ".json";
}

void Node::writeSettings() const
{
    std::ofstream(settingsPath()) << renderTemplate(
        readFile(folders_.repository + "/deploy/gateway.json"), fields_);
}

void Node::start()
{
    writeSettings();
    const std::string variable = "BORAGERACK_SETTINGS=" + settingsPath();
    const std::string program = folders_.repository + "/target/bin/boragerackd";
    const std::string log = logPath();
    pid_ = ::fork();
    if (pid_ < 0)
        throw std::runtime_error("no process can be started");
    if (pid_ > 0)
        return;
    // The process ends with the scenario, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    if (::chdir(folders_.repository.c_str()) != 0)
        ::_exit(127);
    char *arguments[] = {const_cast<char *>("target/bin/boragerackd"),
                         const_cast<char *>("--gateway"), nullptr};
    char *environment[] = {const_cast<char *>(variable.c_str()),
                           const_cast<char *>("PATH=/usr/bin:/bin"), nullptr};
    ::execve(program.c_str(), arguments, environment);
    ::_exit(127);
}

void Node::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

int Node::poll()
{
    int status = 0;
    if (pid_ < 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        return -1;
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::uint16_t Node::port(const std::string &field) const
{
    const std::string address = unquote(fields_.at(field));
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
}

int getStatus(std::uint16_t port, const std::string &path)
{
    const int socket = connectTo(port);
    if (socket < 0)
        return 0;
    Connection connection(socket);
    connection.setTimeout(2000);
    connection.write("GET " + path + " HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    const auto answer = connection.read();
    return answer ? answer->status() : 0;
}

} // namespace review
