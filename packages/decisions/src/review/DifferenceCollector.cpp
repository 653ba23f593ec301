#include "DifferenceCollector.h"

#include <utility>

namespace boragerack::decisions {

namespace {

/// Digits of a digest that identify a key for an operator.
constexpr std::size_t kShownDigits = 16;

std::string describeLimit(std::optional<std::int64_t> limit, std::string_view unit)
{
    return limit ? std::to_string(*limit) + std::string(unit) : "no limit";
}

} // namespace

void DifferenceCollector::add(std::string subject, DifferenceKind kind, std::string before,
                              std::string after)
{
    differences_.push_back({std::move(subject), kind, std::move(before), std::move(after)});
}

void DifferenceCollector::compareLimit(const std::string &subject,
                                       std::optional<std::int64_t> before,
                                       std::optional<std::int64_t> after, std::string_view unit)
{
    if (before == after)
        return;
    const bool isRaised = !after || (before && *before < *after);
    add(subject, isRaised ? DifferenceKind::Raised : DifferenceKind::Lowered,
        describeLimit(before, unit), describeLimit(after, unit));
}

void DifferenceCollector::compareText(const std::string &subject, const std::string &before,
                                      const std::string &after)
{
    if (before != after)
        add(subject, DifferenceKind::Changed, before, after);
}

void DifferenceCollector::compareFlag(const std::string &subject, bool before, bool after)
{
    compareText(subject, before ? "yes" : "no", after ? "yes" : "no");
}

void DifferenceCollector::compareKeys(const std::string &subject,
                                      const std::set<core::Digest> &before,
                                      const std::set<core::Digest> &after)
{
    for (const core::Digest &key : before) {
        if (!after.contains(key))
            add(subject, DifferenceKind::KeyWithdrawn, core::toHex(key).substr(0, kShownDigits),
                "");
    }
    for (const core::Digest &key : after) {
        if (!before.contains(key))
            add(subject, DifferenceKind::KeyAdded, "", core::toHex(key).substr(0, kShownDigits));
    }
}

std::vector<ConfigurationDifference> DifferenceCollector::takeDifferences()
{
    std::ranges::sort(differences_);
    return std::move(differences_);
}

} // namespace boragerack::decisions
