#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Blocking HTTP/1.1 on loopback sockets, for stand-ins that serve each connection on a thread.
namespace review {

/// Names of headers compare without regard to case.
struct NameLess
{
    bool operator()(const std::string &left, const std::string &right) const;
};

using Headers = std::map<std::string, std::string, NameLess>;

struct Message
{
    /// Method and target of a request; protocol and status of a response.
    std::string first;
    std::string second;
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const;
    int status() const { return std::atoi(second.c_str()); }
    std::string path() const { return second.substr(0, second.find('?')); }
    std::string query(const std::string &name) const;
};

/// A connection with a buffer. Closes the socket.
class Connection
{
public:
    explicit Connection(int socket)
        : socket_(socket)
    {
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// The next message with its whole body; empty if the connection ends before.
    std::optional<Message> read();
    /// The next head. The body stays unread.
    std::optional<Message> readHead();
    /// A part of a body; empty at the end of the connection.
    std::string readSome();
    bool write(std::string_view bytes);
    bool isPeerGone() const;
    /// Reads fail after this time without data.
    void setTimeout(int milliseconds);
    /// The next close resets the connection.
    void resetOnClose();
    int socket() const { return socket_; }

private:
    bool fill();

    int socket_;
    std::string buffer_;
};

/// Connects to 127.0.0.1; -1 if the connection is refused.
int connectTo(std::uint16_t port);

/// Accepts connections on a port of 127.0.0.1 and handles each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    /// Port 0 lets the system choose.
    Server(std::uint16_t port, Handler handler);
    ~Server();

    std::uint16_t port() const { return port_; }

private:
    void accept();

    int socket_;
    std::uint16_t port_ = 0;
    Handler handler_;
    std::thread thread_;
};

std::string formatResponse(int status, const Headers &headers, std::string_view body);
/// A port that no socket uses at present.
std::uint16_t freePort();
std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);

} // namespace review
