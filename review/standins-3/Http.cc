#include "Http.hh"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int openSocket()
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

void setNoDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") + 1 - begin);
}

} // namespace

bool NameLess::operator()(const std::string &left, const std::string &right) const
{
    return std::ranges::lexicographical_compare(
        left, right, [](char a, char b) { return std::tolower(a) < std::tolower(b); });
}

std::string Message::header(const std::string &name) const
{
    const auto position = headers.find(name);
    return position == headers.end() ? std::string() : position->second;
}

std::string Message::query(const std::string &name) const
{
    const std::size_t mark = second.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view() : second;
    if (!rest.empty())
        rest.remove_prefix(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (pair.starts_with(name + "="))
            return std::string(pair.substr(name.size() + 1));
    }
    return {};
}

Connection::~Connection()
{
    ::close(socket_);
}

bool Connection::fill()
{
    char bytes[16384];
    const ssize_t size = ::recv(socket_, bytes, sizeof bytes, 0);
    if (size <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
}

std::optional<Message> Connection::readHead()
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return std::nullopt;
    }
    std::string_view head(buffer_.data(), end);
    Message message;
    std::string_view line = head.substr(0, head.find("\r\n"));
    const std::size_t space = line.find(' ');
    message.first = line.substr(0, space);
    line.remove_prefix(std::min(line.size(), space + 1));
    message.second = line.substr(0, line.find(' '));
    head.remove_prefix(std::min(head.size(), head.find("\r\n")));
    while (!head.empty()) {
        head.remove_prefix(2);
        const std::string_view field = head.substr(0, head.find("\r\n"));
        head.remove_prefix(field.size());
        const std::size_t colon = field.find(':');
        if (colon != std::string_view::npos)
            message.headers[std::string(field.substr(0, colon))] =
                std::string(trim(field.substr(colon + 1)));
    }
    buffer_.erase(0, end + 4);
    return message;
}

std::optional<Message> Connection::read()
{
    auto message = readHead();
    if (!message)
        return std::nullopt;
    if (message->header("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill())
                    return std::nullopt;
            }
            const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
            buffer_.erase(0, end + 2);
            while (buffer_.size() < size + 2) {
                if (!fill())
                    return std::nullopt;
            }
            message->body += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0)
                return message;
        }
    }
    const std::string length = message->header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size) {
        if (!fill())
            return std::nullopt;
    }
    message->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
}

std::string Connection::readSome()
{
    if (buffer_.empty() && !fill())
        return {};
    return std::exchange(buffer_, {});
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool Connection::isPeerGone() const
{
    char byte = 0;
    const ssize_t size = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::setTimeout(int milliseconds)
{
    const timeval time {milliseconds / 1000, milliseconds % 1000 * 1000};
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

void Connection::resetOnClose()
{
    const linger option {1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

int connectTo(std::uint16_t port)
{
    const int socket = openSocket();
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    setNoDelay(socket);
    return socket;
}

Server::Server(std::uint16_t port, Handler handler)
    : socket_(openSocket())
    , handler_(std::move(handler))
{
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof address;
    if (::bind(socket_, reinterpret_cast<const sockaddr *>(&address), size) != 0
        || ::listen(socket_, 1024) != 0) {
        ::close(socket_);
        throw std::runtime_error("a port cannot be opened");
    }
    ::getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
}

void Server::accept()
{
    while (true) {
        const int accepted = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        setNoDelay(accepted);
        std::thread([handler = handler_, accepted] {
            Connection connection(accepted);
            handler(connection);
        }).detach();
    }
}

std::string formatResponse(int status, const Headers &headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

std::uint16_t freePort()
{
    // Outgoing connections take ports from 32768 on, also between this choice and a node's listen.
    constexpr unsigned kFirst = 10000;
    constexpr unsigned kCount = 22000;
    static unsigned next = static_cast<unsigned>(::getpid()) * 97;
    while (true) {
        const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
        try {
            const Server server(port, [](Connection &) { });
            return port;
        } catch (const std::runtime_error &) {
            continue;
        }
    }
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

} // namespace review
