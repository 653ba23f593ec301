#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Digest.h"
#include "boragerack/core/Error.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/AttemptId.h"

namespace boragerack::decisions {

/// Digest of the content of a request as a target receives it. It includes the organisation, so
/// that one organisation cannot cause the requests of another to be refused.
core::Digest makeFingerprint(const core::OrganisationId &organisation, std::string_view route,
                             std::string_view body);

struct QuarantineLimits
{
    std::uint32_t maxCrashes = 2;
    /// How long a fingerprint is refused, and how long a single crash counts.
    std::chrono::milliseconds duration = std::chrono::minutes(10);
    std::size_t maxEntries = 4096;

    friend bool operator==(const QuarantineLimits &, const QuarantineLimits &) = default;
};

namespace quarantine {

// Events.

/// A target crashed while it was processing the attempt. Reports may be repeated.
struct CrashReport
{
    core::Digest fingerprint;
    AttemptId attempt;
    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// The node that owns the fingerprint refuses it for the remaining time.
struct Notice
{
    core::Digest fingerprint;
    std::chrono::milliseconds remaining = {};
    friend bool operator==(const Notice &, const Notice &) = default;
};

using Event = std::variant<CrashReport, Notice>;

// Actions.

/// Send a Notice to all nodes.
struct Announce
{
    core::Digest fingerprint;
    std::chrono::milliseconds remaining = {};
    friend bool operator==(const Announce &, const Announce &) = default;
};

using Action = std::variant<Announce>;

} // namespace quarantine

/// Counts target crashes per fingerprint and refuses requests that caused `maxCrashes` of them.
class Quarantine
{
public:
    using Event = quarantine::Event;
    using Action = quarantine::Action;

    explicit Quarantine(QuarantineLimits limits = {});

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// Returns the error for a refused fingerprint; nullopt if the request may run.
    std::optional<core::Error> check(const core::Digest &fingerprint, core::TimePoint now) const;

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        std::vector<AttemptId> crashes;
        bool isRefused = false;
        core::TimePoint expiresAt;
    };

    std::vector<Action> on(const quarantine::CrashReport &event, core::TimePoint now);
    std::vector<Action> on(const quarantine::Notice &event, core::TimePoint now);

    Entry &findOrAdd(const core::Digest &fingerprint, core::TimePoint now);
    void evictIfFull(core::TimePoint now);

    QuarantineLimits limits_;
    std::unordered_map<core::Digest, Entry> entries_;
};

} // namespace boragerack::decisions
