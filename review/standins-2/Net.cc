#include "Net.hh"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

const Clock::time_point kStart = Clock::now();

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a))
                   == std::tolower(static_cast<unsigned char>(b));
           });
}

sockaddr_in makeAddress(const std::string &ip, int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

void setNoDelay(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}

void Socket::close()
{
    if (fd_ >= 0)
        ::close(std::exchange(fd_, -1));
}

void Socket::reset()
{
    const linger abort = {1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close();
}

std::string Headers::get(std::string_view name) const
{
    for (const auto &[field, value] : fields) {
        if (equalsIgnoringCase(field, name))
            return value;
    }
    return {};
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(socket_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::fill(std::int64_t deadline)
{
    while (true) {
        pollfd entry = {socket_.fd(), POLLIN, 0};
        const std::int64_t left = deadline - nowMs();
        if (left <= 0)
            return false;
        const int ready =
            ::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 3600000)));
        if (ready < 0 && errno == EINTR)
            continue;
        if (ready <= 0)
            return false;
        char bytes[16384];
        const ssize_t size = ::recv(socket_.fd(), bytes, sizeof(bytes), 0);
        if (size < 0 && (errno == EINTR || errno == EAGAIN))
            continue;
        if (size <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
}

std::optional<std::string> Connection::readLine(std::int64_t deadline)
{
    while (true) {
        if (const std::size_t end = buffer_.find("\r\n"); end != std::string::npos) {
            std::string line = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            return line;
        }
        if (!fill(deadline))
            return std::nullopt;
    }
}

bool Connection::readBody(const Headers &headers, bool isResponse, std::string &body,
                          std::int64_t deadline)
{
    if (equalsIgnoringCase(headers.get("Transfer-Encoding"), "chunked")) {
        while (true) {
            const auto line = readLine(deadline);
            if (!line)
                return false;
            const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
            while (buffer_.size() < size + 2) {
                if (!fill(deadline)) {
                    body += buffer_.substr(0, size);
                    return false;
                }
            }
            body += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0)
                return true;
        }
    }
    const std::string length = headers.get("Content-Length");
    if (length.empty() && !isResponse)
        return true;
    if (length.empty()) {
        while (fill(deadline)) { }
        body = std::exchange(buffer_, {});
        return true;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        if (!fill(deadline)) {
            body = buffer_;
            return false;
        }
    }
    body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
}

namespace {

std::pair<std::string, std::string> splitHeader(const std::string &line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
        return {line, {}};
    const std::size_t start = line.find_first_not_of(" \t", colon + 1);
    return {line.substr(0, colon), start == std::string::npos ? "" : line.substr(start)};
}

} // namespace

std::optional<Request> Connection::readRequest()
{
    constexpr std::int64_t kIdleMs = 600000;
    const std::int64_t deadline = nowMs() + kIdleMs;
    const auto first = readLine(deadline);
    if (!first)
        return std::nullopt;
    Request request;
    const std::size_t methodEnd = first->find(' ');
    const std::size_t targetEnd = first->find(' ', methodEnd + 1);
    if (methodEnd == std::string::npos || targetEnd == std::string::npos)
        return std::nullopt;
    request.method = first->substr(0, methodEnd);
    request.target = first->substr(methodEnd + 1, targetEnd - methodEnd - 1);
    while (true) {
        const auto line = readLine(deadline);
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        request.headers.fields.push_back(splitHeader(*line));
    }
    if (!readBody(request.headers, false, request.body, deadline))
        return std::nullopt;
    return request;
}

Response Connection::readResponse(std::int64_t timeoutMs)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    Response response;
    const auto first = readLine(deadline);
    response.isBegun = first.has_value() || !buffer_.empty();
    if (!first || first->size() < 12)
        return response;
    response.status = std::atoi(first->c_str() + 9);
    while (true) {
        const auto line = readLine(deadline);
        if (!line)
            return response;
        if (line->empty())
            break;
        response.headers.fields.push_back(splitHeader(*line));
    }
    response.isComplete = readBody(response.headers, true, response.body, deadline);
    return response;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    const ssize_t size = ::recv(socket_.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

std::string formatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>> &headers,
                           std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

Socket listenOn(const std::string &ip, int port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = makeAddress(ip, port);
    constexpr int kBacklog = 1024;
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(socket.fd(), kBacklog) != 0)
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port) + ": "
                                 + std::strerror(errno));
    return socket;
}

int portOf(const Socket &socket)
{
    sockaddr_in address = {};
    socklen_t size = sizeof(address);
    ::getsockname(socket.fd(), reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

Socket connectTo(const std::string &ip, int port, std::int64_t timeoutMs)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const sockaddr_in address = makeAddress(ip, port);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address))
        != 0) {
        if (errno != EINPROGRESS)
            return Socket();
        pollfd entry = {socket.fd(), POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (::poll(&entry, 1, static_cast<int>(timeoutMs)) != 1
            || ::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return Socket();
    }
    ::fcntl(socket.fd(), F_SETFL, ::fcntl(socket.fd(), F_GETFL) & ~O_NONBLOCK);
    setNoDelay(socket.fd());
    return socket;
}

Server::Server(const std::string &ip, int port, Handler handler)
    : ip_(ip)
    , handler_(std::move(handler))
    , listener_(listenOn(ip, port))
    , port_(portOf(listener_))
    , thread_([this] { accept(); })
{
}

Server::~Server()
{
    stop();
}

void Server::stop()
{
    if (isStopped_.exchange(true))
        return;
    ::shutdown(listener_.fd(), SHUT_RDWR);
    thread_.join();
    listener_.close();
    {
        const std::lock_guard lock(mutex_);
        for (const int fd : open_)
            ::shutdown(fd, SHUT_RDWR);
    }
    while (running_ > 0)
        sleepMs(1);
}

void Server::accept()
{
    while (!isStopped_) {
        const int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (isStopped_)
                return;
            sleepMs(1);
            continue;
        }
        setNoDelay(fd);
        ++running_;
        {
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
        }
        std::thread([this, fd] { serve(Socket(fd)); }).detach();
    }
}

void Server::serve(Socket socket)
{
    const int fd = socket.fd();
    {
        Connection connection(std::move(socket));
        while (!isStopped_) {
            const auto request = connection.readRequest();
            if (!request || !handler_(*request, connection))
                break;
        }
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        connection.socket().close();
    }
    --running_;
}

} // namespace review
