#include "Http.hh"

#include <algorithm>
#include <cstring>
#include <memory>
#include <random>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;

sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("not an address: " + address);
    return result;
}

std::string addressOf(int socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// Negative if the address is in use.
int tryListenOn(const std::string &text)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = parseAddress(text);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && listen(socket, SOMAXCONN) == 0)
        return socket;
    close(socket);
    return -1;
}

int listenOnFreePort()
{
    const int socket = tryListenOn("127.0.0.1:0");
    if (socket < 0)
        throw std::runtime_error("cannot listen on a loopback port");
    return socket;
}

Headers parseHeaders(const std::string &head)
{
    Headers headers;
    std::size_t start = head.find("\r\n");
    while (start != std::string::npos) {
        start += 2;
        const std::size_t end = std::min(head.find("\r\n", start), head.size());
        const std::size_t colon = head.find(':', start);
        if (colon == std::string::npos || colon >= end)
            break;
        std::size_t value = colon + 1;
        while (value < end && head[value] == ' ')
            ++value;
        headers.emplace_back(head.substr(start, colon - start), head.substr(value, end - value));
        start = end < head.size() ? end : std::string::npos;
    }
    return headers;
}

} // namespace

std::string header(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

std::string render(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Connection::Connection(int socket)
    : socket_(socket)
{
    static std::atomic<std::uint64_t> connections = 0;
    number_ = ++connections;
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
    close(socket_);
}

bool Connection::fill(std::optional<SteadyClock::time_point> deadline)
{
    if (deadline) {
        const auto left = std::chrono::ceil<Milliseconds>(*deadline - SteadyClock::now()).count();
        pollfd waiting {socket_, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
    }
    char bytes[kReadBytes];
    const ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
    if (size <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool Connection::readHead(std::string &head, std::optional<SteadyClock::time_point> deadline)
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline))
            return false;
    }
    head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    return true;
}

bool Connection::readBytes(std::size_t size, std::string &bytes,
                           std::optional<SteadyClock::time_point> deadline)
{
    while (buffer_.size() < size) {
        if (!fill(deadline)) {
            bytes += std::exchange(buffer_, {});
            return false;
        }
    }
    bytes += buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
}

bool Connection::readChunks(std::string &body, std::optional<SteadyClock::time_point> deadline)
{
    while (true) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
        buffer_.erase(0, end + 2);
        std::string lineEnd;
        if (!readBytes(size, body, deadline) || !readBytes(2, lineEnd, deadline))
            return false;
        if (size == 0)
            return true;
    }
}

std::optional<Request> Connection::readRequest()
{
    std::string head;
    if (!readHead(head, std::nullopt))
        return std::nullopt;
    Request request;
    const std::size_t space = head.find(' ');
    request.method = head.substr(0, space);
    request.target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
    request.headers = parseHeaders(head);
    const std::string length = header(request.headers, "Content-Length");
    bool isRead = true;
    if (!length.empty())
        isRead = readBytes(std::stoul(length), request.body, std::nullopt);
    else if (!header(request.headers, "Transfer-Encoding").empty())
        isRead = readChunks(request.body, std::nullopt);
    return isRead ? std::optional(std::move(request)) : std::nullopt;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size =
            ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

Response Connection::readResponse(SteadyClock::time_point deadline)
{
    Response response;
    std::string head;
    if (!readHead(head, deadline))
        return response;
    response.status = std::stoi(head.substr(head.find(' ') + 1, 3));
    response.headers = parseHeaders(head);
    const std::string length = header(response.headers, "Content-Length");
    if (!length.empty()) {
        response.isComplete = readBytes(std::stoul(length), response.body, deadline);
    } else if (!header(response.headers, "Transfer-Encoding").empty()) {
        response.isComplete = readChunks(response.body, deadline);
    }
    return response;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t size = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger noLinger {1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
    shutdown(socket_, SHUT_RD);
}

Server::Server(Handler handler)
    : handler_(std::move(handler))
    , socket_(listenOnFreePort())
    , address_(addressOf(socket_))
    , acceptThread_([this] { accept(); })
{
}

Server::~Server()
{
    isRunning_ = false;
    shutdown(socket_, SHUT_RDWR);
    acceptThread_.join();
    close(socket_);
    {
        const std::lock_guard lock(mutex_);
        for (const int socket : open_)
            shutdown(socket, SHUT_RDWR);
    }
    for (std::thread &thread : threads_)
        thread.join();
}

void Server::accept()
{
    while (isRunning_) {
        const int socket = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const std::lock_guard lock(mutex_);
        open_.insert(socket);
        threads_.emplace_back([this, socket] {
            Connection connection(socket);
            handler_(connection);
            const std::lock_guard closing(mutex_);
            open_.erase(socket);
        });
    }
}

std::unique_ptr<Connection> connectTo(const std::string &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in endpoint = parseAddress(address);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) != 0) {
        close(socket);
        return nullptr;
    }
    return std::make_unique<Connection>(socket);
}

Response Client::send(const std::string &request, Milliseconds timeout)
{
    const auto deadline = SteadyClock::now() + timeout;
    if (!connection_ || connection_->isClosedByPeer())
        connection_ = connectTo(address_);
    Response response;
    if (connection_ && connection_->send(request))
        response = connection_->readResponse(deadline);
    if (!response.isComplete || header(response.headers, "Connection") == "close")
        connection_.reset();
    return response;
}

Response call(const std::string &address, const std::string &request, Milliseconds timeout)
{
    const auto deadline = SteadyClock::now() + timeout;
    const auto connection = connectTo(address);
    if (!connection || !connection->send(request))
        return {};
    return connection->readResponse(deadline);
}

std::string freeAddress()
{
    // Below the range from which the system takes ports for outgoing connections, so that none of
    // these takes the port before the server listens, or while it restarts.
    constexpr int kFirstPort = 15000;
    constexpr int kLastPort = 31999;
    constexpr int kMaxTries = 1000;
    static std::mt19937 random {std::random_device()()};
    static std::set<int> taken;
    std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
    for (int i = 0; i < kMaxTries; ++i) {
        const int port = ports(random);
        const std::string address = "127.0.0.1:" + std::to_string(port);
        if (!taken.insert(port).second)
            continue;
        if (const int socket = tryListenOn(address); socket >= 0) {
            close(socket);
            return address;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace review
