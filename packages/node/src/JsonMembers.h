#pragma once

#include <exception>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "boragerack/core/Result.h"

namespace boragerack::node {

/// String member of an object; empty if it is missing or of another type.
inline std::string stringMember(const boost::json::value &object, std::string_view name)
{
    const auto *members = object.if_object();
    const auto *member = members ? members->if_contains(name) : nullptr;
    return member && member->is_string() ? std::string(member->get_string()) : std::string();
}

/// Integer member of an object; zero if it is missing or not an integer.
inline std::uint64_t uint64Member(const boost::json::value &object, std::string_view name)
{
    const auto *members = object.if_object();
    const auto *member = members ? members->if_contains(name) : nullptr;
    boost::system::error_code error;
    const auto number = member && member->is_number() ? member->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

inline bool boolMember(const boost::json::value &object, std::string_view name)
{
    const auto *members = object.if_object();
    const auto *member = members ? members->if_contains(name) : nullptr;
    return member && member->is_bool() && member->get_bool();
}

/// Elements of an array member; empty if it is missing or of another type.
inline const boost::json::array &arrayMember(const boost::json::value &object,
                                             std::string_view name)
{
    static const boost::json::array empty;
    const auto *members = object.if_object();
    const auto *member = members ? members->if_contains(name) : nullptr;
    return member && member->is_array() ? member->get_array() : empty;
}

/// Parses the text and reads a value from it; `what` is the name of the source in error messages.
template<class T, class Reader>
core::Result<T> parseJson(std::string_view what, std::string_view text, Reader reader)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error) {
        return core::makeNotRunError(core::ErrorCode::ProtocolViolation,
                                     std::string(what) + " is not JSON: " + error.message());
    }
    return reader(value);
}

} // namespace boragerack::node
