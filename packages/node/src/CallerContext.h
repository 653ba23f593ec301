#pragma once

#include <optional>
#include <string>

#include "RequestDependencies.h"
#include "boragerack/runtime/HttpMessage.h"

namespace boragerack::node {

/// Who sends a request and until when it may wait.
struct CallerContext
{
    /// Empty on an open route without a key.
    core::OrganisationId organisation;
    core::Digest key;
    bool hasKey = false;
    core::TimePoint receivedAt;
    core::TimePoint deadline;

    friend bool operator==(const CallerContext &, const CallerContext &) = default;
};

/// Reads the key and the deadline of a request. Without a valid key the organisation stays empty.
core::Result<CallerContext> makeCallerContext(const runtime::HttpRequest &request,
                                              const ActiveConfiguration &configuration,
                                              core::TimePoint now,
                                              std::chrono::milliseconds defaultTimeout);

/// Why the request must end early, if so: its key was withdrawn or the node must stop serving it.
std::optional<core::ErrorCode> findCancelReason(const CallerContext &context,
                                                const RequestDependencies &services);

/// Identity of a request that is unique over all nodes.
std::string makeRequestId(const NodeIdentity &identity, core::RandomSource &random);

} // namespace boragerack::node
