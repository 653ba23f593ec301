#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "boragerack/core/Identifier.h"

namespace boragerack::decisions {

/// Identity of one platform write or one order: the process that issued it and a number that the
/// process never uses twice.
struct OperationId
{
    core::InstanceId instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const OperationId &, const OperationId &) = default;
};

/// Text form `<instance>/<incarnation>/<sequence>`, used as the order identifier towards engines.
std::string formatOperationId(const OperationId &stamp);

/// Reverses formatOperationId; nothing if the text is anything else.
std::optional<OperationId> parseOperationId(std::string_view text);

} // namespace boragerack::decisions
