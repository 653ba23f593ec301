#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Identifies one platform write or one order by the process that issued it and a sequence number
/// that is unique within the process.
struct OperationId
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const OperationId &, const OperationId &) = default;
};

/// Formats as `<instance>/<incarnation>/<sequence>`, the order identifier sent to engines.
std::string formatOperationId(const OperationId &id);

/// Parses the output of formatOperationId; empty if the text is malformed.
std::optional<OperationId> parseOperationId(std::string_view text);

} // namespace boragerack::decisions
