#include "boragerack/decisions/ShareLifecycle.h"

namespace boragerack::decisions {

namespace {

constexpr charts::EnumNames<ShareState, 5> kStates = {
    {"unowned", "acquiring", "warmingUp", "granting", "releasing"}};
constexpr charts::EnumNames<ShareChartEvent, 5> kEvents = {
    {"acquireDecided", "ownedInTable", "notOwnedInTable", "warmUpEnded", "releaseDecided"}};
constexpr charts::EnumNames<ShareChartAction, 4> kActions = {
    {"writeTable", "startWarmUp", "startGranting", "stopGranting"}};

} // namespace

core::Result<std::shared_ptr<const ShareBinding>> bindShareChart(const charts::StateChart &chart)
{
    auto binding = ShareBinding::make(chart, kStates, kEvents, kActions);
    if (!core::isOk(binding))
        return core::errorOf(binding);
    return std::make_shared<const ShareBinding>(core::takeValue(std::move(binding)));
}

} // namespace boragerack::decisions
