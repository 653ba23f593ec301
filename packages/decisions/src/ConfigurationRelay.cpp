#include "boragerack/decisions/ConfigurationRelay.h"

#include <chrono>
#include <utility>

namespace boragerack::decisions {

namespace {

/// Pause after a failed call, so that a platform that comes back is not met by a storm of retries.
constexpr std::chrono::milliseconds kRetryPause {500};

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
    listsReadAt_ = event.requestedAt;
    if (isChanged && chart_.accepts(ChartEvent::ListsChanged))
        fire(ChartEvent::ListsChanged);
    else if ((isChanged || isFirst || wasBehind) && chart_.state() == State::Following)
        compareLists();
    stampIfSettled();
}

void ConfigurationRelay::on(const HeadRead &event)
{
    if (chart_.state() != State::Reading)
        return;
    // A read that was on its way while a newer head was written here tells nothing new. If the
    // object was deleted, it is created again with the next version, so that versions still grow.
    if (!event.stored && stored_)
        stored_->platformVersion = 0;
    else if (!stored_ || event.stored->platformVersion >= stored_->platformVersion)
        stored_ = event.stored;
    unread_.clear();
    if (stored_) {
        for (const PartDigest &part : stored_->head.parts) {
            if (!texts_.contains(part.digest) && unread_.insert(part.digest).second)
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
        texts_[event.digest] = event.text;
        unread_.erase(event.digest);
    }
    if (chart_.state() == State::Reading)
        finishReading();
}

void ConfigurationRelay::on(const ReadFailed &)
{
    asked_ = now_;
    fire(ChartEvent::PlatformFailed);
}

void ConfigurationRelay::finishReading()
{
    if (!unread_.empty())
        return;
    if (stored_)
        adoptStored();
    fire(ChartEvent::HeadKnown);
    stampIfSettled();
}

void ConfigurationRelay::on(const CandidateChecked &event)
{
    if (event.check != check_ || chart_.state() != State::Checking)
        return;
    fault_ = event;
    fire(event.message.empty() ? ChartEvent::CandidatePassed : ChartEvent::CandidateFailed);
    stampIfSettled();
}

void ConfigurationRelay::on(const PartWritten &event)
{
    if (chart_.state() != State::WritingParts)
        return;
    if (!event.isStored) {
        asked_ = now_;
        fire(ChartEvent::PlatformFailed);
        return;
    }
    unwritten_.erase(event.digest);
    if (unwritten_.empty())
        fire(ChartEvent::PartsWritten);
}

void ConfigurationRelay::on(const HeadWritten &event)
{
    if (event.sequence != sequence_)
        return;
    switch (event.outcome) {
    case HeadWriteOutcome::Done:
        if (chart_.state() == State::WritingHead)
            stored_ = StoredHead {written_, event.platformVersion};
        fire(ChartEvent::HeadWritten);
        break;
    case HeadWriteOutcome::Conflict:
        fire(ChartEvent::HeadConflict);
        break;
    case HeadWriteOutcome::Unknown:
        fire(ChartEvent::HeadWriteUnknown);
        break;
    }
    stampIfSettled();
}

void ConfigurationRelay::on(const Tick &)
{
    if (now_ - asked_ >= kRetryPause)
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
        asked_ = now_;
        actions_.emplace_back(ReadHead {});
        break;
    case ChartAction::CompareLists:
        compareLists();
        break;
    case ChartAction::CheckCandidate:
        actions_.emplace_back(CheckCandidate {++check_, candidate_});
        break;
    case ChartAction::RejectPart:
        lists_.refuse(fault_.part, fault_.message, acceptedTexts());
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
        // Only a new version or another set of refusals is worth a write.
        if (status_ && status_->acceptedVersion == status.acceptedVersion
            && status_->rejected == status.rejected)
            break;
        status_ = status;
        actions_.emplace_back(WriteStatus {status});
        break;
    }
    }
}

void ConfigurationRelay::adoptStored()
{
    std::map<core::Digest, std::string> held;
    for (const PartDigest &part : stored_->head.parts)
        held.emplace(part.digest, texts_.at(part.digest));
    texts_ = std::move(held);
    actions_.emplace_back(AdoptHead {{stored_->head, acceptedTexts()}});
}

bool ConfigurationRelay::isBehindHead() const
{
    return stored_ && lists_.revision() < stored_->head.listRevision;
}

void ConfigurationRelay::compareLists()
{
    // A relay whose view is older than the head would take an accepted edit back.
    if (!hasLists_ || isBehindHead())
        return;
    const auto accepted = acceptedTexts();
    candidate_ = lists_.makeCandidate(accepted);
    candidateRevision_ = lists_.revision();
    fire(candidate_ == accepted ? ChartEvent::CandidateUnchanged : ChartEvent::CandidateReady);
}

void ConfigurationRelay::writeParts()
{
    unwritten_.clear();
    for (const auto &[name, text] : candidate_) {
        const core::Digest digest = core::makeDigest(text);
        if (!texts_.contains(digest) && unwritten_.insert(digest).second)
            actions_.emplace_back(WritePart {digest, text});
    }
    if (unwritten_.empty())
        fire(ChartEvent::PartsWritten);
}

void ConfigurationRelay::writeHead()
{
    for (const auto &[name, text] : candidate_)
        texts_[core::makeDigest(text)] = text;
    written_ = {(stored_ ? stored_->head.version : 0) + 1,
                candidateRevision_,
                self_,
                incarnation_,
                ++sequence_,
                makeHeadParts(candidate_)};
    const bool exists = stored_ && stored_->platformVersion != 0;
    actions_.emplace_back(
        WriteHead {written_, exists ? std::optional(stored_->platformVersion) : std::nullopt});
}

void ConfigurationRelay::stampIfSettled()
{
    const bool isCurrent = hasLists_ && chart_.state() == State::Following && !isBehindHead();
    if (!isCurrent || listsReadAt_ <= stampedAt_)
        return;
    stampedAt_ = listsReadAt_;
    actions_.emplace_back(RecordReadProof {stored_ ? stored_->head.version : 0, listsReadAt_});
}

std::map<std::string, std::string> ConfigurationRelay::acceptedTexts() const
{
    std::map<std::string, std::string> accepted;
    if (stored_) {
        for (const PartDigest &part : stored_->head.parts)
            accepted.emplace(part.name, texts_.at(part.digest));
    }
    return accepted;
}

} // namespace boragerack::decisions
