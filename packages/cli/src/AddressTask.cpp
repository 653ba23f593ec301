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
constexpr std::chrono::seconds kAskTimeout(2);
constexpr unsigned kStatusOk = 200;

core::Error makeFault(const std::string &message)
{
    return core::makeNotRunError(core::ErrorCode::ConnectionFailed, message);
}

} // namespace

core::Result<AddressList> parseAddressList(std::string_view text)
{
    try {
        const json::value value = json::parse(text);
        AddressList answer;
        for (const json::value &address : value.at("addresses").as_array())
            answer.addresses.push_back(json::value_to<std::string>(address));
        answer.lifetime =
            std::chrono::seconds(value.at("lifetime_seconds").to_number<std::int64_t>());
        return answer;
    } catch (const std::exception &exception) {
        return makeFault(std::string("answer to /v1/addresses is not understood: ")
                         + exception.what());
    }
}

AddressTask::AddressTask(runtime::HttpClient &client, std::vector<std::string> entries,
                         std::uint64_t seed)
    : client_(client)
    , entries_(std::move(entries))
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
    AddressRequest question {failed, {}};
    if (!mailbox_.trySend(question))
        return makeFault("too many requests wait for an address");
    if (auto answer = question.reply.waitUntil(deadline))
        return *answer;
    return makeFault("no address before the deadline");
}

void AddressTask::run()
{
    while (const auto question = mailbox_.receive())
        question->reply.set(answer(*question));
}

core::Result<std::string> AddressTask::answer(const AddressRequest &question)
{
    if (question.failed)
        std::erase(addresses_, *question.failed);
    if (addresses_.empty() || std::chrono::steady_clock::now() >= validUntil_)
        refresh();
    if (addresses_.empty())
        return makeFault(lastFault_);
    return addresses_[random_.next() % addresses_.size()];
}

void AddressTask::refresh()
{
    // Nodes that were in use come first; the configured ones may have been replaced since.
    std::vector<std::string> candidates = std::exchange(addresses_, {});
    candidates.insert(candidates.end(), entries_.begin(), entries_.end());
    for (const std::string &candidate : candidates) {
        const auto now = std::chrono::steady_clock::now();
        const auto response =
            client_.call(candidate, {"GET", "/v1/addresses", {}, ""}, now + kAskTimeout);
        if (!core::isOk(response)) {
            lastFault_ = core::errorOf(response).message;
            continue;
        }
        if (core::valueOf(response).status != kStatusOk) {
            lastFault_ =
                candidate + " answered status " + std::to_string(core::valueOf(response).status);
            continue;
        }
        const auto answer = parseAddressList(core::valueOf(response).body);
        if (core::isOk(answer) && !core::valueOf(answer).addresses.empty()) {
            addresses_ = core::valueOf(answer).addresses;
            validUntil_ = now + core::valueOf(answer).lifetime;
            return;
        }
        lastFault_ = core::isOk(answer) ? candidate + " knows no serving node"
                                        : core::errorOf(answer).message;
    }
}

} // namespace boragerack::cli
