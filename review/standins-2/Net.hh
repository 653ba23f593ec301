// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of this review.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/// Closes the socket when it is destroyed.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : fd_(fd)
    {
    }
    Socket(Socket &&other) noexcept
        : fd_(std::exchange(other.fd_, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        close();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    ~Socket() { close(); }

    int fd() const { return fd_; }
    bool isOpen() const { return fd_ >= 0; }
    void close();
    /// Closes with a reset instead of an orderly end.
    void reset();

private:
    int fd_;
};

struct Headers
{
    std::vector<std::pair<std::string, std::string>> fields;

    /// The first value of the header; empty if there is none.
    std::string get(std::string_view name) const;
};

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

struct Response
{
    int status = 0;
    Headers headers;
    std::string body;
    /// Whether the whole response arrived; otherwise the connection ended or time ran out.
    bool isComplete = false;
    /// Whether a byte of it arrived.
    bool isBegun = false;
};

/// One connection with a buffer for what has been received.
class Connection
{
public:
    explicit Connection(Socket socket)
        : socket_(std::move(socket))
    {
    }

    bool write(std::string_view bytes);
    std::optional<Request> readRequest();
    Response readResponse(std::int64_t timeoutMs);
    /// Whether the peer has closed the connection.
    bool isClosedByPeer() const;
    Socket &socket() { return socket_; }

private:
    bool fill(std::int64_t deadline);
    bool readBody(const Headers &headers, bool isResponse, std::string &body,
                  std::int64_t deadline);
    std::optional<std::string> readLine(std::int64_t deadline);

    Socket socket_;
    std::string buffer_;
};

std::string formatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>> &headers,
                           std::string_view body);

/// Port 0 lets the system choose one. Throws if the address is in use.
Socket listenOn(const std::string &ip, int port);
int portOf(const Socket &socket);
/// Not open if the connection failed.
Socket connectTo(const std::string &ip, int port, std::int64_t timeoutMs);

/// Accepts connections and serves each one on a thread of its own.
class Server
{
public:
    /// Returns false to close the connection.
    using Handler = std::function<bool(const Request &, Connection &)>;

    Server(const std::string &ip, int port, Handler handler);
    ~Server();

    const std::string &ip() const { return ip_; }
    int port() const { return port_; }
    std::string address() const { return ip_ + ":" + std::to_string(port_); }
    /// Stops accepting and ends all connections.
    void stop();

private:
    void accept();
    void serve(Socket socket);

    std::string ip_;
    Handler handler_;
    Socket listener_;
    int port_;
    std::atomic<bool> isStopped_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::atomic<int> running_ = 0;
    std::thread thread_;
};

} // namespace review
