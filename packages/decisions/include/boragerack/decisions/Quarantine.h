#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "boragerack/core/Clock.h"
#include "boragerack/core/Digest.h"
#include "boragerack/core/Error.h"
#include "boragerack/core/Identifier.h"
#include "boragerack/decisions/AttemptId.h"
#include "boragerack/decisions/CrashSuspect.h"

namespace boragerack::decisions {

struct QuarantineLimits
{
    std::uint32_t maxCrashes = 2;
    /// How long a fingerprint is refused, and how long a single crash counts.
    std::chrono::milliseconds duration = std::chrono::minutes(10);
    std::size_t maxEntries = 4096;
    /// Number of different targets that must be among those that crashed. More than one if a crash
    /// cannot be told from a connection that a faulty target closed.
    std::uint32_t minTargets = 1;
    /// Time in which all nodes report a crash, before a part of a prompt is refused.
    std::chrono::milliseconds reportDelay = std::chrono::milliseconds(150);
    /// Time from the first event in which all nodes report what they reported to a predecessor,
    /// before a part of a prompt is refused or the refusal of the predecessor is ended.
    std::chrono::milliseconds handoverDelay = std::chrono::milliseconds(0);

    friend bool operator==(const QuarantineLimits &, const QuarantineLimits &) = default;
};

namespace quarantine {

// Events.

/// A target crashed while it was processing the attempt. Reports may be repeated.
struct CrashReport
{
    core::Digest fingerprint;
    AttemptId attempt;
    core::Digest origin = {};
    std::uint32_t minOrigins = 1;
    /// The process that crashed; a target that started again is another one.
    std::string target = {};
    /// Times from the send of the request and from the crash until the report.
    std::chrono::milliseconds sentAge = {};
    std::chrono::milliseconds crashAge = {};
    /// As in CrashSuspect.
    core::Digest part = {};
    std::uint32_t position = 0;
    bool wasAnswered = false;
    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// A target answered a request with this fingerprint completely.
struct Completed
{
    core::Digest fingerprint;
    friend bool operator==(const Completed &, const Completed &) = default;
};

/// The node that owns the fingerprint refuses it for the remaining time, or no longer if that is
/// zero.
struct Notice
{
    core::Digest fingerprint;
    std::chrono::milliseconds remaining = {};
    friend bool operator==(const Notice &, const Notice &) = default;
};

/// Decides on parts of prompts whose crashes have been reported by all nodes in the meantime.
struct Tick
{
    friend bool operator==(const Tick &, const Tick &) = default;
};

using Event = std::variant<CrashReport, Completed, Notice, Tick>;

// Actions.

/// What speaks for and against a refusal, for the log.
struct Evidence
{
    /// Position of the part in the prompt; zero for a whole request.
    std::uint32_t position = 0;
    std::size_t crashes = 0;
    std::size_t targets = 0;
    std::size_t origins = 0;
    bool wasAnswered = false;
    friend bool operator==(const Evidence &, const Evidence &) = default;
};

/// Send a Notice to all nodes.
struct Announce
{
    core::Digest fingerprint;
    std::chrono::milliseconds remaining = {};
    Evidence evidence = {};
    friend bool operator==(const Announce &, const Announce &) = default;
};

using Action = std::variant<Announce>;

/// Fields of the log event.
std::string describe(const Announce &announce);

} // namespace quarantine

/// Counts target crashes per fingerprint and refuses requests that caused `maxCrashes` of them. A
/// crash counts only if its request was sent after the previous one, since requests that run when
/// many targets crash at once are not the cause. Crashes may be reported in any order. A complete
/// answer starts the count again.
///
/// Of the parts of prompts that were in progress on the targets that crashed, the one that explains
/// the most crashes is refused; parts that were answered before rank behind all others. The crashes
/// that it explains no longer count for other parts, except that one which was never answered
/// becomes a candidate again with its next crash. A refusal that another node hands over is in
/// force at once, and is compared with other parts in the same way.
class Quarantine
{
public:
    using Event = quarantine::Event;
    using Action = quarantine::Action;

    explicit Quarantine(QuarantineLimits limits = {});

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    /// Returns the error for a refused fingerprint; nullopt if the request may run.
    std::optional<core::Error> check(const core::Digest &fingerprint, core::TimePoint now) const;

    /// All fingerprints that are refused.
    std::vector<quarantine::Notice> refusals(core::TimePoint now) const;

    std::size_t size() const { return entries_.size(); }

private:
    struct Crash
    {
        AttemptId attempt;
        std::string target;
        core::TimePoint sentAt;
        core::TimePoint crashedAt;
    };
    using Crashes = std::vector<Crash>;

    struct Entry
    {
        /// In the order in which they happened.
        Crashes crashes;
        /// Number of crashes that count.
        std::size_t count = 0;
        /// When there were enough crashes for a refusal.
        std::optional<core::TimePoint> enoughAt;
        std::set<core::Digest> origins;
        std::uint32_t minOrigins = 1;
        core::Digest part;
        std::uint32_t position = 0;
        bool wasAnswered = false;
        /// All targets that crashed, also at the same time.
        std::set<std::string> targets;
        std::optional<core::TimePoint> completedAt;
        bool isRefused = false;
        /// Another node decided on the refusal, which is checked against the crashes that are
        /// reported here.
        bool isHandedOver = false;
        /// A refusal has ended because another one explains its crashes.
        bool wasLifted = false;
        core::TimePoint expiresAt;

        /// Only parts of prompts need crashes of several origins.
        bool isPart() const { return minOrigins > 1; }
        bool isAnsweredPart() const { return isPart() && wasAnswered; }
    };

    /// A refused suspect that explains the crash of a target.
    struct Explanation
    {
        core::TimePoint until;
        bool byAnsweredPart = false;
    };
    static quarantine::Evidence evidenceOf(const Entry &entry);
    using Entries = std::unordered_map<core::Digest, Entry>;
    using Actions = std::vector<Action>;

    std::vector<Action> on(const quarantine::CrashReport &event, core::TimePoint now);
    std::vector<Action> on(const quarantine::Completed &event, core::TimePoint now);
    std::vector<Action> on(const quarantine::Notice &event, core::TimePoint now);
    std::vector<Action> on(const quarantine::Tick &event, core::TimePoint now);
    void addCrash(Entry &entry, Crash crash) const;
    /// The longest sequence of crashes of which each request was sent after the previous crash.
    Crashes findSequence(const Crashes &crashes) const;
    bool hasEnoughCrashes(const Entry &entry) const;
    /// Whether the entry is a candidate for the refusal of a cause.
    bool mayBeCause(const Entry &entry) const;
    /// Whether another suspect explains all crashes of the entry, and better.
    bool isExplainedByOther(const Entry &entry) const;
    /// Whether `left` explains the crashes better than `right`.
    static bool isBetterExplanation(const Entry &left, const Entry &right);
    /// An answered part does not explain the crashes of one that was never answered.
    static bool mayExplain(const Entry &explanation, const Entry &entry);
    bool isExplained(const std::string &target, const Entry &entry) const;
    void refuse(Entries::iterator position, core::TimePoint now, Actions &actions);
    /// Removes the crashes of these targets from all entries but the one that explains them.
    void removeExplained(const core::Digest &cause, const std::set<std::string> &targets,
                         core::TimePoint now, Actions &actions);
    /// The crashes are explained, but the entry may be the cause all the same; one more crash shows
    /// that it is.
    void keepForNextCrash(Entry &entry, const std::set<std::string> &explained) const;

    Entry &findOrAdd(const core::Digest &fingerprint, core::TimePoint now);
    void evictIfFull(core::TimePoint now);

    QuarantineLimits limits_;
    std::optional<core::TimePoint> startedAt_;
    Entries entries_;
    /// Targets whose crash is explained by a refused suspect.
    std::unordered_map<std::string, Explanation> explained_;
};

} // namespace boragerack::decisions
