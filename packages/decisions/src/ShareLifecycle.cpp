#include "boragerack/decisions/ShareLifecycle.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<ShareState, 5> kStates = {
    {"unowned", "claiming", "warmingUp", "granting", "releasing"}};
constexpr charts::EnumNames<ShareEvent, 5> kEvents = {
    {"claimDecided", "ownedInTable", "notOwnedInTable", "warmUpEnded", "releaseDecided"}};
constexpr charts::EnumNames<ShareStep, 4> kSteps = {
    {"writeTable", "startWarmUp", "startGranting", "stopGranting"}};

} // namespace

core::Result<std::shared_ptr<const ShareChart>> makeShareChart(const charts::StateChart &chart)
{
    auto binding = ShareChart::make(chart, kStates, kEvents, kSteps);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const ShareChart>(core::takeValue(std::move(binding)));
}

} // namespace boragerack::decisions
