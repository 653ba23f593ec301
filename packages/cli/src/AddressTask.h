#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Result.h"
#include "boragerack/core/SeededRandomSource.h"
#include "boragerack/runtime/FiberGroup.h"
#include "boragerack/runtime/Mailbox.h"
#include "boragerack/runtime/ReplyChannel.h"

namespace boragerack::runtime {
class HttpClient;
} // namespace boragerack::runtime

namespace boragerack::cli {

/// Response to `GET /v1/addresses`.
struct AddressList
{
    std::vector<std::string> addresses;
    std::chrono::seconds lifetime = std::chrono::seconds(0);

    friend auto operator<=>(const AddressList &, const AddressList &) = default;
};

core::Result<AddressList> parseAddressList(std::string_view text);

/// Fetches the serving addresses from any node and caches them for their lifetime, as a caller
/// does.
class AddressTask
{
public:
    AddressTask(runtime::HttpClient &client, std::vector<std::string> configuredAddresses,
                std::uint64_t seed);
    AddressTask(const AddressTask &) = delete;
    AddressTask &operator=(const AddressTask &) = delete;
    ~AddressTask();

    /// Returns a random serving address. `failed` is an address to which connecting failed; it is
    /// excluded until the list is fetched again.
    core::Result<std::string> choose(const std::optional<std::string> &failed,
                                     core::TimePoint deadline);

private:
    struct AddressRequest
    {
        std::optional<std::string> failed;
        runtime::ReplyChannel<core::Result<std::string>> reply;
    };

    void run();
    core::Result<std::string> handleRequest(const AddressRequest &request);
    void refresh();

    runtime::HttpClient &client_;
    std::vector<std::string> configuredAddresses_;
    core::SeededRandomSource random_;
    std::vector<std::string> addresses_;
    core::TimePoint validUntil_ = core::TimePoint::min();
    std::string lastError_ = "no node was queried";
    runtime::Mailbox<AddressRequest> mailbox_;
    runtime::FiberGroup fibers_;
};

} // namespace boragerack::cli
