#include "LeaseJson.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace boragerack::gateway {

namespace json = boost::json;

std::string serialiseLease(const decisions::LeaseRecord &record)
{
    return json::serialize(json::object {{"holder", record.holder.value},
                                         {"peerAddress", record.peerAddress},
                                         {"incarnation", record.incarnation},
                                         {"renewal", record.renewal},
                                         {"isReleased", record.isReleased},
                                         {"ordersAfterMs", record.ordersAfter.count()},
                                         {"validityMs", record.validity.count()},
                                         {"nodes", record.nodes},
                                         {"era", record.era}});
}

core::Result<decisions::LeaseRecord> parseLease(std::string_view text)
{
    try {
        const json::value value = json::parse(text);
        decisions::LeaseRecord record;
        record.holder.value = json::value_to<std::string>(value.at("holder"));
        record.peerAddress = json::value_to<std::string>(value.at("peerAddress"));
        record.incarnation = value.at("incarnation").to_number<std::uint64_t>();
        record.renewal = value.at("renewal").to_number<std::uint64_t>();
        record.isReleased = value.at("isReleased").as_bool();
        record.ordersAfter =
            std::chrono::milliseconds(value.at("ordersAfterMs").to_number<std::int64_t>());
        record.validity =
            std::chrono::milliseconds(value.at("validityMs").to_number<std::int64_t>());
        record.nodes = value.at("nodes").to_number<std::uint32_t>();
        // Missing in records of earlier releases.
        if (const json::value *era = value.as_object().if_contains("era"))
            record.era = era->to_number<std::uint64_t>();
        return record;
    } catch (const std::exception &exception) {
        return core::makeNotRunError(core::ErrorCode::ProtocolViolation,
                                     std::string("cannot parse the coordinator lease: ")
                                         + exception.what());
    }
}

} // namespace boragerack::gateway
