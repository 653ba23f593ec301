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

/// Identifies a request by what a target sees of it. It covers the organisation, so that one
/// organisation cannot have the requests of another refused.
core::Digest makeFingerprint(const core::OrganisationId &organisation, std::string_view route,
                             std::string_view body);

struct QuarantineLimits
{
    std::uint32_t maxCrashes = 2;
    /// How long a fingerprint is refused, and how long a single death is remembered.
    std::chrono::milliseconds duration = std::chrono::minutes(10);
    std::size_t maxEntries = 4096;

    friend bool operator==(const QuarantineLimits &, const QuarantineLimits &) = default;
};

namespace quarantine {

// Events.

/// A target died while it had the attempt. Reports may be repeated.
struct CrashReport
{
    core::Digest fingerprint;
    AttemptId attempt;
    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// The owner of the fingerprint refuses it for the time that remains.
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

/// Counts deaths of targets by request and refuses requests that caused several.
class Quarantine
{
public:
    using Event = quarantine::Event;
    using Action = quarantine::Action;

    explicit Quarantine(QuarantineLimits limits = {});

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// The refusal of a request with the fingerprint; nothing if it may run.
    std::optional<core::Error> check(const core::Digest &fingerprint, core::TimePoint now) const;

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        std::vector<AttemptId> deaths;
        bool isRefused = false;
        core::TimePoint until;
    };

    std::vector<Action> on(const quarantine::CrashReport &event, core::TimePoint now);
    std::vector<Action> on(const quarantine::Notice &event, core::TimePoint now);

    Entry &findOrAdd(const core::Digest &fingerprint, core::TimePoint now);
    void makeRoom(core::TimePoint now);

    QuarantineLimits limits_;
    std::unordered_map<core::Digest, Entry> entries_;
};

} // namespace boragerack::decisions
