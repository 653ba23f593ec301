#include "AddressTask.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/json.hpp>

#include "boragerack/runtime/HttpClient.h"

namespace boragerack::cli {

namespace json = boost::json;

namespace {

constexpr std::size_t kMailboxCapacity = 32768;
constexpr std::chrono::seconds kAddressListTimeout(2);
constexpr unsigned kStatusOk = 200;

core::Error makeConnectionError(const std::string &message)
{
    return core::makeNotRunError(core::ErrorCode::ConnectionFailed, message);
}

} // namespace

core::Result<AddressList> parseAddressList(std::string_view text)
{
    try {
        const json::value value = json::parse(text);
        AddressList list;
        for (const json::value &address : value.at("addresses").as_array())
            list.addresses.push_back(json::value_to<std::string>(address));
        list.lifetime =
            std::chrono::seconds(value.at("lifetime_seconds").to_number<std::int64_t>());
        return list;
    } catch (const std::exception &exception) {
        return makeConnectionError(std::string("invalid response to /v1/addresses: ")
                                   + exception.what());
    }
}

AddressTask::AddressTask(runtime::HttpClient &client, std::vector<std::string> configuredAddresses,
                         std::uint64_t seed)
    : client_(client)
    , configuredAddresses_(std::move(configuredAddresses))
    , random_(seed)
    , mailbox_(kMailboxCapacity)
{
    fibers_.start([this] { run(); });
}

AddressTask::~AddressTask()
{
    mailbox_.close();
}

core::Result<std::string> AddressTask::choose(const std::optional<std::string> &failed,
                                              core::TimePoint deadline)
{
    AddressRequest request {failed, {}};
    if (!mailbox_.trySend(request))
        return makeConnectionError("too many requests are waiting for an address");
    if (auto address = request.reply.waitUntil(deadline))
        return *address;
    return makeConnectionError("no address received before the deadline");
}

void AddressTask::run()
{
    while (const auto request = mailbox_.receive())
        request->reply.set(handleRequest(*request));
}

core::Result<std::string> AddressTask::handleRequest(const AddressRequest &request)
{
    if (request.failed)
        std::erase(addresses_, *request.failed);
    if (addresses_.empty() || std::chrono::steady_clock::now() >= validUntil_)
        refresh();
    if (addresses_.empty())
        return makeConnectionError(lastError_);
    return addresses_[random_.next() % addresses_.size()];
}

void AddressTask::refresh()
{
    // Previously returned addresses are tried first: the configured nodes may have been replaced.
    std::vector<std::string> candidates = std::exchange(addresses_, {});
    candidates.insert(candidates.end(), configuredAddresses_.begin(), configuredAddresses_.end());
    for (const std::string &candidate : candidates) {
        const auto now = std::chrono::steady_clock::now();
        const auto response =
            client_.call(candidate, {"GET", "/v1/addresses", {}, ""}, now + kAddressListTimeout);
        if (!core::isOk(response)) {
            lastError_ = core::errorOf(response).message;
            continue;
        }
        if (core::valueOf(response).status != kStatusOk) {
            lastError_ =
                candidate + " returned status " + std::to_string(core::valueOf(response).status);
            continue;
        }
        const auto list = parseAddressList(core::valueOf(response).body);
        if (core::isOk(list) && !core::valueOf(list).addresses.empty()) {
            addresses_ = core::valueOf(list).addresses;
            validUntil_ = now + core::valueOf(list).lifetime;
            return;
        }
        lastError_ = core::isOk(list) ? candidate + " returned no serving addresses"
                                      : core::errorOf(list).message;
    }
}

} // namespace boragerack::cli
