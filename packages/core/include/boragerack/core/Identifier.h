#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>

namespace boragerack::core {

/// Strongly typed string identifier; identifiers of different kinds do not convert to each other.
template<class Tag>
struct Identifier
{
    std::string value;

    friend auto operator<=>(const Identifier &, const Identifier &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const Identifier &id)
    {
        return stream << id.value;
    }
};

using OrganisationId = Identifier<struct OrganisationTag>;
using InstanceId = Identifier<struct InstanceTag>;
using TargetId = Identifier<struct TargetTag>;
using ModelId = Identifier<struct ModelTag>;
using AdapterId = Identifier<struct AdapterTag>;
using ServiceId = Identifier<struct ServiceTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using RegionId = Identifier<struct RegionTag>;

} // namespace boragerack::core

template<class Tag>
struct std::hash<boragerack::core::Identifier<Tag>>
{
    std::size_t operator()(const boragerack::core::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
