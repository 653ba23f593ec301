#include "boragerack/decisions/ConfigurationRelay.h"

#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Delay after a failed call; limits the retry load on a recovering platform.
constexpr std::chrono::milliseconds kRetryDelay {500};

} // namespace

core::Result<std::shared_ptr<const ConfigurationRelay::Binding>>
ConfigurationRelay::bind(const charts::StateChart &chart)
{
    using namespace std::string_view_literals;
    const charts::EnumNames<State, 7> states {{"standby"sv, "reading"sv, "following"sv,
                                               "checking"sv, "writingParts"sv, "writingHead"sv,
                                               "backingOff"sv}};
    const charts::EnumNames<ChartEvent, 14> events {
        {"roleGained"sv, "roleLost"sv, "headKnown"sv, "platformFailed"sv, "listsChanged"sv,
         "candidateReady"sv, "candidateUnchanged"sv, "candidatePassed"sv, "candidateFailed"sv,
         "partsWritten"sv, "headWritten"sv, "headConflict"sv, "headWriteUnknown"sv, "retryDue"sv}};
    const charts::EnumNames<ChartAction, 8> actions {
        {"readHead"sv, "compareLists"sv, "checkCandidate"sv, "rejectPart"sv, "writeParts"sv,
         "writeHead"sv, "adoptWrittenHead"sv, "writeStatus"sv}};
    auto binding = Binding::make(chart, states, events, actions);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const Binding>(core::takeValue(std::move(binding)));
}

ConfigurationRelay::ConfigurationRelay(std::shared_ptr<const Binding> binding,
                                       core::InstanceId self, std::uint64_t incarnation)
    : chart_(std::move(binding))
    , self_(std::move(self))
    , incarnation_(incarnation)
{
}

std::vector<ConfigurationRelay::Action> ConfigurationRelay::handle(const Event &event,
                                                                   core::TimePoint now)
{
    now_ = now;
    std::visit([this](const auto &concrete) { on(concrete); }, event);
    return std::exchange(actions_, {});
}

void ConfigurationRelay::on(const RoleChanged &event)
{
    if (event.isRelay == isActive())
        return;
    if (event.isRelay) {
        hasLists_ = false;
        fire(ChartEvent::RoleGained);
    } else {
        fire(ChartEvent::RoleLost);
    }
}

void ConfigurationRelay::on(const ListsRead &event)
{
    if (!isActive() || (!hasLists_ && !event.isComplete))
        return;
    const bool wasBehind = isBehindHead();
    const bool isChanged = lists_.update(event.isComplete, event.revision, event.parts);
    const bool isFirst = !std::exchange(hasLists_, true);
    listsRequestedAt_ = event.requestedAt;
    if (isChanged && chart_.accepts(ChartEvent::ListsChanged))
        fire(ChartEvent::ListsChanged);
    else if ((isChanged || isFirst || wasBehind) && chart_.state() == State::Following)
        compareLists();
    recordProofIfCurrent();
}

void ConfigurationRelay::on(const HeadRead &event)
{
    if (chart_.state() != State::Reading)
        return;
    // Ignore a read that was in flight while this relay wrote a newer head. If the object was
    // deleted, it is created again with the next version, so that versions keep increasing.
    if (!event.stored && stored_)
        stored_->platformVersion = 0;
    else if (!stored_ || event.stored->platformVersion >= stored_->platformVersion)
        stored_ = event.stored;
    pendingReads_.clear();
    if (stored_) {
        for (const PartDigest &part : stored_->head.parts) {
            if (!partTexts_.contains(part.digest) && pendingReads_.insert(part.digest).second)
                actions_.emplace_back(ReadPart {part.digest});
        }
    }
    const std::uint64_t version = stored_ ? stored_->head.version : 0;
    if (stored_ == event.stored)
        actions_.emplace_back(RecordReadProof {version, event.requestedAt});
    finishReading();
}

void ConfigurationRelay::on(const PartRead &event)
{
    if (core::makeDigest(event.text) == event.digest) {
        partTexts_[event.digest] = event.text;
        pendingReads_.erase(event.digest);
    }
    if (chart_.state() == State::Reading)
        finishReading();
}

void ConfigurationRelay::on(const ReadFailed &)
{
    lastCallAt_ = now_;
    fire(ChartEvent::PlatformFailed);
}

void ConfigurationRelay::finishReading()
{
    if (!pendingReads_.empty())
        return;
    if (stored_)
        adoptStored();
    fire(ChartEvent::HeadKnown);
    recordProofIfCurrent();
}

void ConfigurationRelay::on(const CandidateChecked &event)
{
    if (event.check != lastCheck_ || chart_.state() != State::Checking)
        return;
    failedCheck_ = event;
    fire(event.message.empty() ? ChartEvent::CandidatePassed : ChartEvent::CandidateFailed);
    recordProofIfCurrent();
}

void ConfigurationRelay::on(const PartWritten &event)
{
    if (chart_.state() != State::WritingParts)
        return;
    if (!event.isStored) {
        lastCallAt_ = now_;
        fire(ChartEvent::PlatformFailed);
        return;
    }
    pendingWrites_.erase(event.digest);
    if (pendingWrites_.empty())
        fire(ChartEvent::PartsWritten);
}

void ConfigurationRelay::on(const HeadWritten &event)
{
    if (event.sequence != lastSequence_)
        return;
    switch (event.outcome) {
    case HeadWriteOutcome::Done:
        if (chart_.state() == State::WritingHead)
            stored_ = StoredHead {pendingHead_, event.platformVersion};
        fire(ChartEvent::HeadWritten);
        break;
    case HeadWriteOutcome::Conflict:
        fire(ChartEvent::HeadConflict);
        break;
    case HeadWriteOutcome::Unknown:
        fire(ChartEvent::HeadWriteUnknown);
        break;
    }
    recordProofIfCurrent();
}

void ConfigurationRelay::on(const Tick &)
{
    if (now_ - lastCallAt_ >= kRetryDelay)
        fire(ChartEvent::RetryDue);
}

void ConfigurationRelay::fire(ChartEvent event)
{
    for (const ChartAction action : chart_.fire(event))
        perform(action);
}

void ConfigurationRelay::perform(ChartAction action)
{
    switch (action) {
    case ChartAction::ReadHead:
        lastCallAt_ = now_;
        actions_.emplace_back(ReadHead {});
        break;
    case ChartAction::CompareLists:
        compareLists();
        break;
    case ChartAction::CheckCandidate:
        actions_.emplace_back(CheckCandidate {++lastCheck_, candidate_});
        break;
    case ChartAction::RejectPart:
        lists_.refuse(failedCheck_.part, failedCheck_.message, acceptedTexts());
        break;
    case ChartAction::WriteParts:
        writeParts();
        break;
    case ChartAction::WriteHead:
        writeHead();
        break;
    case ChartAction::AdoptWrittenHead:
        adoptStored();
        break;
    case ChartAction::WriteStatus: {
        const ConfigurationStatus status {stored_ ? stored_->head.version : 0, lists_.revision(),
                                          lists_.rejected()};
        // Write only if the accepted version or the set of rejected parts changed.
        if (lastStatus_ && lastStatus_->acceptedVersion == status.acceptedVersion
            && lastStatus_->rejected == status.rejected)
            break;
        lastStatus_ = status;
        actions_.emplace_back(WriteStatus {status});
        break;
    }
    }
}

void ConfigurationRelay::adoptStored()
{
    std::map<core::Digest, std::string> acceptedPartTexts;
    for (const PartDigest &part : stored_->head.parts)
        acceptedPartTexts.emplace(part.digest, partTexts_.at(part.digest));
    partTexts_ = std::move(acceptedPartTexts);
    actions_.emplace_back(AdoptHead {{stored_->head, acceptedTexts()}});
}

bool ConfigurationRelay::isBehindHead() const
{
    return stored_ && lists_.revision() < stored_->head.listRevision;
}

void ConfigurationRelay::compareLists()
{
    // A candidate from lists older than the head would revert an accepted edit.
    if (!hasLists_ || isBehindHead())
        return;
    const auto accepted = acceptedTexts();
    candidate_ = lists_.makeCandidate(accepted);
    candidateRevision_ = lists_.revision();
    fire(candidate_ == accepted ? ChartEvent::CandidateUnchanged : ChartEvent::CandidateReady);
}

void ConfigurationRelay::writeParts()
{
    pendingWrites_.clear();
    for (const auto &[name, text] : candidate_) {
        const core::Digest digest = core::makeDigest(text);
        if (!partTexts_.contains(digest) && pendingWrites_.insert(digest).second)
            actions_.emplace_back(WritePart {digest, text});
    }
    if (pendingWrites_.empty())
        fire(ChartEvent::PartsWritten);
}

void ConfigurationRelay::writeHead()
{
    for (const auto &[name, text] : candidate_)
        partTexts_[core::makeDigest(text)] = text;
    pendingHead_ = {(stored_ ? stored_->head.version : 0) + 1,
                    candidateRevision_,
                    self_,
                    incarnation_,
                    ++lastSequence_,
                    makeHeadParts(candidate_)};
    const bool exists = stored_ && stored_->platformVersion != 0;
    actions_.emplace_back(
        WriteHead {pendingHead_, exists ? std::optional(stored_->platformVersion) : std::nullopt});
}

void ConfigurationRelay::recordProofIfCurrent()
{
    const bool isCurrent = hasLists_ && chart_.state() == State::Following && !isBehindHead();
    if (!isCurrent || listsRequestedAt_ <= proofRecordedAt_)
        return;
    proofRecordedAt_ = listsRequestedAt_;
    actions_.emplace_back(RecordReadProof {stored_ ? stored_->head.version : 0, listsRequestedAt_});
}

std::map<std::string, std::string> ConfigurationRelay::acceptedTexts() const
{
    std::map<std::string, std::string> accepted;
    if (stored_) {
        for (const PartDigest &part : stored_->head.parts)
            accepted.emplace(part.name, partTexts_.at(part.digest));
    }
    return accepted;
}

} // namespace boragerack::decisions
