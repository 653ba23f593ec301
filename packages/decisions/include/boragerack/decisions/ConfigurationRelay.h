#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "boragerack/charts/ChartInstance.h"
#include "boragerack/core/Clock.h"
#include "boragerack/decisions/WatchedLists.h"

namespace boragerack::decisions {

/// Result of a write to the platform. `Unknown` means that no response was received.
enum class HeadWriteOutcome { Done, Conflict, Unknown };

/// The head and the platform's version of the object that stores it.
struct StoredHead
{
    ConfigurationHead head;
    std::uint64_t platformVersion = 0;

    friend auto operator<=>(const StoredHead &, const StoredHead &) = default;
};

/// Accepts the operators' lists on a relay node: watches them, requests their validation, writes
/// the parts and then replaces the head by a conditional update. Several relays may run
/// concurrently.
class ConfigurationRelay
{
public:
    enum class State {
        Standby,
        Reading,
        Following,
        Checking,
        WritingParts,
        WritingHead,
        BackingOff,
    };
    enum class ChartEvent {
        RoleGained,
        RoleLost,
        HeadKnown,
        PlatformFailed,
        ListsChanged,
        CandidateReady,
        CandidateUnchanged,
        CandidatePassed,
        CandidateFailed,
        PartsWritten,
        HeadWritten,
        HeadConflict,
        HeadWriteUnknown,
        RetryDue,
    };
    enum class ChartAction {
        ReadHead,
        CompareLists,
        CheckCandidate,
        RejectPart,
        WriteParts,
        WriteHead,
        AdoptWrittenHead,
        WriteStatus,
    };
    using Binding = charts::ChartBinding<State, ChartEvent, ChartAction>;

    static core::Result<std::shared_ptr<const Binding>> bind(const charts::StateChart &chart);

    struct RoleChanged
    {
        bool isRelay = false;
    };
    /// Response to a read or watch of `lists/` that was requested at `requestedAt`.
    struct ListsRead
    {
        bool isComplete = false;
        std::uint64_t revision = 0;
        std::vector<ListPart> parts;
        core::TimePoint requestedAt;
    };
    /// Response to `ReadHead`; `stored` is empty if the object does not exist.
    struct HeadRead
    {
        std::optional<StoredHead> stored;
        core::TimePoint requestedAt;
    };
    struct PartRead
    {
        core::Digest digest;
        std::string text;
    };
    /// A read of the head or of a part failed.
    struct ReadFailed
    {
    };
    /// Response to `CheckCandidate`; an empty message means that the lists are valid.
    struct CandidateChecked
    {
        std::uint64_t check = 0;
        std::string part;
        std::string message;
    };
    /// Response to `WritePart`. `isStored` is also set if the part object already existed.
    struct PartWritten
    {
        core::Digest digest;
        bool isStored = false;
    };
    struct HeadWritten
    {
        std::uint64_t sequence = 0;
        HeadWriteOutcome outcome = HeadWriteOutcome::Unknown;
        std::uint64_t platformVersion = 0;
    };
    struct Tick
    {
    };
    using Event = std::variant<RoleChanged, ListsRead, HeadRead, PartRead, ReadFailed,
                               CandidateChecked, PartWritten, HeadWritten, Tick>;

    struct ReadHead
    {
    };
    struct ReadPart
    {
        core::Digest digest;
    };
    struct CheckCandidate
    {
        std::uint64_t check = 0;
        std::map<std::string, std::string> texts;
    };
    struct WritePart
    {
        core::Digest digest;
        std::string text;
    };
    /// Conditional update of the head; without `expectedVersion` the object must not exist yet.
    struct WriteHead
    {
        ConfigurationHead head;
        std::optional<std::uint64_t> expectedVersion;
    };
    struct WriteStatus
    {
        ConfigurationStatus status;
    };
    /// The head that this relay read or wrote; the node adopts it if it is newer than its own.
    struct AdoptHead
    {
        AcceptedConfiguration configuration;
    };
    /// The accepted version was `version` at `readAt`.
    struct RecordReadProof
    {
        std::uint64_t version = 0;
        core::TimePoint readAt;
    };
    using Action = std::variant<ReadHead, ReadPart, CheckCandidate, WritePart, WriteHead,
                                WriteStatus, AdoptHead, RecordReadProof>;

    ConfigurationRelay(std::shared_ptr<const Binding> binding, core::InstanceId self,
                       std::uint64_t incarnation);

    std::vector<Action> handle(const Event &event, core::TimePoint now);

    bool isActive() const { return chart_.state() != State::Standby; }

private:
    void on(const RoleChanged &event);
    void on(const ListsRead &event);
    void on(const HeadRead &event);
    void on(const PartRead &event);
    void on(const ReadFailed &event);
    void on(const CandidateChecked &event);
    void on(const PartWritten &event);
    void on(const HeadWritten &event);
    void on(const Tick &event);
    void fire(ChartEvent event);
    void perform(ChartAction action);
    void compareLists();
    void writeParts();
    void writeHead();
    void finishReading();
    void recordProofIfCurrent();
    void adoptStored();
    bool isBehindHead() const;
    std::map<std::string, std::string> acceptedTexts() const;

    charts::ChartInstance<State, ChartEvent, ChartAction> chart_;
    core::InstanceId self_;
    std::uint64_t incarnation_ = 0;
    core::TimePoint now_;
    std::vector<Action> actions_;

    WatchedLists lists_;
    bool hasLists_ = false;
    core::TimePoint listsRequestedAt_;
    std::optional<StoredHead> stored_;
    /// Texts of accepted parts and of parts written for a new head.
    std::map<core::Digest, std::string> partTexts_;
    std::set<core::Digest> pendingReads_;
    std::set<core::Digest> pendingWrites_;
    std::map<std::string, std::string> candidate_;
    /// Revision of the lists from which the candidate was made.
    std::uint64_t candidateRevision_ = 0;
    ConfigurationHead pendingHead_;
    std::uint64_t lastCheck_ = 0;
    std::uint64_t lastSequence_ = 0;
    CandidateChecked failedCheck_;
    std::optional<ConfigurationStatus> lastStatus_;
    core::TimePoint lastCallAt_;
    core::TimePoint proofRecordedAt_;
};

} // namespace boragerack::decisions
