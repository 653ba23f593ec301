#pragma once

#include <optional>
#include <string>

#include "RequestDependencies.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::node {

/// Identity of the caller and deadline of a request.
struct CallerContext
{
    /// Empty if the request has no valid key, which only open routes permit.
    core::OrganisationId organisation;
    core::Digest key;
    bool hasKey = false;
    core::TimePoint receivedAt;
    core::TimePoint deadline;

    friend bool operator==(const CallerContext &, const CallerContext &) = default;
};

/// Reads the key and the deadline of a request. Without a valid key the organisation is empty.
core::Result<CallerContext> makeCallerContext(const runtime::HttpRequest &request,
                                              const ActiveConfiguration &configuration,
                                              core::TimePoint now,
                                              std::chrono::milliseconds defaultTimeout);

/// Returns why the request must be cancelled, if so: its key was revoked or the node must stop
/// serving it.
std::optional<core::ErrorCode> findCancelReason(const CallerContext &context,
                                                const RequestDependencies &services);

/// Creates a request id that is unique across all nodes.
std::string makeRequestId(const NodeIdentity &identity, core::RandomSource &random);

} // namespace boragerack::node
