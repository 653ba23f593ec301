#include "boragerack/decisions/serving/TargetWorkModel.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragerack::decisions {

namespace {

/// Duration of one step of an engine, which generates a token of each running request, and its
/// growth with each running request. Differences between engines are part of the pace.
constexpr double kStepMs = 5.47;
constexpr double kStepMsPerRequest = 0.1;
/// An engine reads prompts in chunks of this many tokens, with a step after each.
constexpr double kChunkTokens = 2048;
/// Tokens in the first piece of an answer.
constexpr double kFirstPieceTokens = 7;

/// Weight of a new measurement in the averages. It adapts within some ten answers, so that one
/// unusual answer does not divert the requests from a target.
constexpr double kWeight = 0.15;
/// Measurements outside of this range have other causes than the speed of the target; engines
/// differ by a factor of two.
constexpr double kMinPace = 0.25;
constexpr double kMaxPace = 4;
/// A target that was slow gets few requests, so its pace returns to the average without new ones.
constexpr double kPaceLifetimeSeconds = 10;
constexpr double kMinGeneratedShare = 0.02;

double toMs(core::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

core::Duration fromMs(double ms)
{
    // Longer than any request; much longer times are not representable.
    constexpr double kMaxMs = 86'400'000;
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double, std::milli>(std::min(ms, kMaxMs)));
}

void average(double &mean, double value)
{
    mean += kWeight * (value - mean);
}

double stepMs(std::uint32_t running)
{
    return kStepMs + kStepMsPerRequest * running;
}

double readMs(double tokens, std::uint32_t running)
{
    return tokens / kReadTokensPerMs + std::ceil(tokens / kChunkTokens) * stepMs(running);
}

} // namespace

void TargetWorkModel::begin(std::uint64_t request, const TargetProcess &process,
                            const InteractiveService &service, const RequestWork &work,
                            std::uint32_t others, core::TimePoint now)
{
    const auto [means, isNew] =
        means_.try_emplace(service.service,
                           ServiceMeans {static_cast<double>(work.promptTokens),
                                         static_cast<double>(std::max(1U, work.outputTokens))});
    if (!isNew) {
        average(means->second.promptTokens, work.promptTokens);
        average(means->second.outputTokens, std::max(1U, work.outputTokens));
    }
    Target &target = targets_[process];
    requests_.insert_or_assign(
        request,
        Request {process, service, work, now, predictMs(&target, service, work, others, now)});
    ++target.requests;
    target.unreadTokens = unreadTokens(target, now) + work.promptTokens;
    target.outputTokens += work.outputTokens;
    target.updatedAt = now;
}

void TargetWorkModel::end(std::uint64_t request, std::optional<core::Duration> firstPiece,
                          bool isComplete, core::TimePoint now)
{
    const auto ended = requests_.extract(request);
    if (!ended)
        return;
    const Request &record = ended.mapped();
    const auto position = targets_.find(record.process);
    if (position == targets_.end())
        return;
    Target &target = position->second;
    --target.requests;
    target.outputTokens -= record.work.outputTokens;
    if (target.requests == 0)
        target.unreadTokens = 0;
    if (!firstPiece)
        return;
    const double measured = toMs(*firstPiece) / std::max(1.0, record.predictedMs);
    target.pace = paceOf(target, now);
    average(target.pace, std::clamp(measured, kMinPace, kMaxPace));
    target.paceAt = now;
    const double generationMs = toMs(now - record.startedAt - *firstPiece);
    if (!isComplete || generationMs <= 0)
        return;
    const double stated = std::max(1U, record.work.outputTokens)
        * stepMs(std::min(record.service.slots, target.requests + 1));
    average(means_[record.service.service].generatedShare,
            std::clamp(generationMs / stated, kMinGeneratedShare, kMaxPace));
}

core::Duration TargetWorkModel::predict(const TargetProcess &process,
                                        const InteractiveService &service, const RequestWork &work,
                                        std::uint32_t others, core::TimePoint now) const
{
    const Target *target = find(process);
    return fromMs(predictMs(target, service, work, others, now)
                  * (target ? paceOf(*target, now) : 1));
}

core::Duration TargetWorkModel::occupancy(const TargetProcess &process,
                                          const InteractiveService &service,
                                          const RequestWork &work, core::TimePoint now) const
{
    const Target *target = find(process);
    return fromMs(occupancyMs(target, service, work, service.slots)
                  * (target ? paceOf(*target, now) : 1));
}

std::uint32_t TargetWorkModel::ownRequests(const TargetProcess &process) const
{
    const Target *target = find(process);
    return target ? target->requests : 0;
}

const TargetWorkModel::Target *TargetWorkModel::find(const TargetProcess &process) const
{
    const auto position = targets_.find(process);
    return position == targets_.end() ? nullptr : &position->second;
}

double TargetWorkModel::unreadTokens(const Target &target, core::TimePoint now)
{
    return std::max(0.0, target.unreadTokens - toMs(now - target.updatedAt) * kReadTokensPerMs);
}

double TargetWorkModel::paceOf(const Target &target, core::TimePoint now)
{
    const double age = std::chrono::duration<double>(now - target.paceAt).count();
    return 1 + (target.pace - 1) * std::exp(-std::max(0.0, age) / kPaceLifetimeSeconds);
}

double TargetWorkModel::occupancyMs(const Target *target, const InteractiveService &service,
                                    const RequestWork &work, std::uint32_t others) const
{
    const auto means = means_.find(service.service);
    const ServiceMeans mean = means != means_.end()
        ? means->second
        : ServiceMeans {static_cast<double>(work.promptTokens),
                        static_cast<double>(std::max(1U, work.outputTokens))};
    const std::uint32_t own = target ? target->requests : 0;
    const double requests = std::max(1U, own + others);
    const double tokens =
        (own == 0 ? mean.outputTokens * requests
                  : static_cast<double>(target->outputTokens) + mean.outputTokens * others)
        / requests;
    const std::uint32_t running = std::min(service.slots, own + others + 1);
    return tokens * mean.generatedShare * stepMs(running) + readMs(mean.promptTokens, running);
}

double TargetWorkModel::predictMs(const Target *target, const InteractiveService &service,
                                  const RequestWork &work, std::uint32_t others,
                                  core::TimePoint now) const
{
    const std::uint32_t requests = (target ? target->requests : 0) + others;
    const std::uint32_t running = std::min(service.slots, requests + 1);
    double slotMs = 0;
    if (requests >= service.slots) {
        const double queued = requests - service.slots + 1;
        slotMs = queued * occupancyMs(target, service, work, others) / service.slots;
    }
    // Prompts are read one after the other, also while this request waits for a slot.
    const double unread = target ? unreadTokens(*target, now) : 0;
    const double aheadMs = std::max(slotMs, unread / kReadTokensPerMs);
    return aheadMs + readMs(work.promptTokens, running) + kFirstPieceTokens * stepMs(running);
}

} // namespace boragerack::decisions
