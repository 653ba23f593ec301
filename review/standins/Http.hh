// Blocking HTTP/1.1 on loopback sockets, with a thread for each connection. The stand-ins need
// access to the connection itself, e.g. to send bytes that no request asked for.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;
using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Value of the first header with this name, compared without case; empty if there is none.
std::string header(const Headers &headers, const std::string &name);

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

struct Response
{
    /// 0 if the connection ended before a status line.
    int status = 0;
    Headers headers;
    std::string body;
    /// Whether the body ended as its framing announced.
    bool isComplete = false;
};

/// Renders a response with a Content-Length.
std::string render(int status, const Headers &headers, const std::string &body);

/// A TCP connection; closes its socket when destroyed.
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// The next request; nullopt when the peer has closed the connection.
    std::optional<Request> readRequest();
    /// False if the peer has closed the connection.
    bool send(const std::string &bytes);
    Response readResponse(SteadyClock::time_point deadline);
    /// True if the peer has closed its side and no data is left to read.
    bool isClosedByPeer() const;
    /// Sends a reset instead of an orderly close.
    void reset();
    /// Differs from that of all other connections of the process.
    std::uint64_t number() const { return number_; }

private:
    bool fill(std::optional<SteadyClock::time_point> deadline);
    bool readHead(std::string &head, std::optional<SteadyClock::time_point> deadline);
    bool readBytes(std::size_t size, std::string &bytes,
                   std::optional<SteadyClock::time_point> deadline);
    bool readChunks(std::string &body, std::optional<SteadyClock::time_point> deadline);

    int socket_;
    std::uint64_t number_;
    std::string buffer_;
};

/// Listens on a free loopback port.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    explicit Server(Handler handler);
    ~Server();

    const std::string &address() const { return address_; }

private:
    void accept();

    Handler handler_;
    int socket_ = -1;
    std::string address_;
    std::atomic<bool> isRunning_ = true;
    std::mutex mutex_;
    std::set<int> open_;
    std::list<std::thread> threads_;
    std::thread acceptThread_;
};

/// Connects to "<ip>:<port>"; null if the connection is refused.
std::unique_ptr<Connection> connectTo(const std::string &address);

/// Sends requests one after the other, on one connection as long as the server keeps it open.
class Client
{
public:
    explicit Client(std::string address)
        : address_(std::move(address))
    {
    }

    Response send(const std::string &request, Milliseconds timeout);

private:
    std::string address_;
    std::unique_ptr<Connection> connection_;
};

/// Sends one request on a new connection and waits for its response.
Response call(const std::string &address, const std::string &request, Milliseconds timeout);

/// A loopback address with a port that was free at the time of the call.
std::string freeAddress();

} // namespace review
