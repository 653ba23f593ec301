#include "boragerack/config/ListCheck.h"

#include <set>
#include <utility>

#include "ListExamination.h"
#include "boragerack/config/EntitlementsPart.h"
#include "boragerack/config/PlansPart.h"

namespace boragerack::config {

namespace {

using decisions::FindingCode;

constexpr std::string_view kPlansPrefix = "plans/";
constexpr std::string_view kEntitlementsPrefix = "entitlements/";

/// Checks each part and the references between parts. Records where each name was defined, so that
/// an error about a duplicate names both places.
class ListChecker
{
public:
    void addEntitlements(const std::string &part, std::string_view text)
    {
        auto parsed = parseEntitlementsPart("lists/" + part, text);
        if (!core::isOk(parsed))
            return fail(part, core::errorOf(parsed).message);
        EntitlementsPart lists = core::takeValue(std::move(parsed));
        for (std::size_t i = 0; i < lists.services.size(); ++i) {
            const std::string &name = lists.services[i].service.value;
            const std::string path = "services[" + std::to_string(i) + "].service";
            define(services_, part, path, name, "a service that is defined once");
            result_.services.push_back({part, i});
            result_.contents.services.push_back(std::move(lists.services[i]));
        }
        for (std::size_t i = 0; i < lists.plans.size(); ++i) {
            const std::string path = "plans[" + std::to_string(i) + "]";
            define(plans_, part, path + ".plan", lists.plans[i].plan,
                   "a plan that is defined once");
            checkMemory(part, path, lists.plans[i]);
            for (std::size_t s = 0; s < lists.plans[i].services.size(); ++s) {
                serviceReferences_.push_back({part, path + ".services[" + std::to_string(s) + "]",
                                              lists.plans[i].services[s].value});
            }
            result_.plans.push_back({part, i});
            result_.contents.plans.push_back(std::move(lists.plans[i]));
        }
        // Several parts may name the same data centre, so that two operators can each request and
        // withdraw an evacuation. It ends when no part names it.
        for (const decisions::Evacuation &evacuation : lists.evacuations)
            result_.contents.evacuated.insert(evacuation.dataCentre);
    }

    void addPlans(const std::string &part, std::string_view text)
    {
        auto parsed = parsePlansPart("lists/" + part, text);
        if (!core::isOk(parsed))
            return fail(part, core::errorOf(parsed).message);
        PlansPart lists = core::takeValue(std::move(parsed));
        for (std::size_t i = 0; i < lists.organisations.size(); ++i) {
            decisions::Organisation &entry = lists.organisations[i];
            const std::string path = "organisations[" + std::to_string(i) + "]";
            define(organisations_, part, path + ".organisation", entry.organisation.value,
                   "an organisation that is defined once");
            planReferences_.push_back({part, path + ".plan", entry.plan});
            std::set<core::Digest> own;
            for (std::size_t k = 0; k < entry.keys.size(); ++k) {
                const bool isNew = own.insert(entry.keys[k].sha256).second;
                define(keys_, part, path + ".keys[" + std::to_string(k) + "].sha256",
                       core::toHex(entry.keys[k].sha256), "a digest that is used once",
                       isNew ? FindingCode::KeyOfTwoOrganisations : FindingCode::RepeatedKey);
            }
            result_.organisations.push_back({part, i});
            result_.contents.organisations.push_back(std::move(entry));
        }
    }

    ListExamination finish(PlanReferences planReferences)
    {
        for (const Reference &reference : serviceReferences_) {
            if (!services_.contains(reference.name))
                fail(FindingCode::UnknownReference, reference.part, reference.path, reference.name,
                     "a service of the entitlements list");
        }
        for (const Reference &reference : planReferences_) {
            if (planReferences == PlanReferences::Checked && !plans_.contains(reference.name))
                fail(FindingCode::UnknownReference, reference.part, reference.path, reference.name,
                     "a plan of the entitlements list");
        }
        return std::move(result_);
    }

    void fail(const std::string &part, std::string message)
    {
        result_.errors.push_back({part, std::move(message), std::nullopt, {}, {}});
    }

private:
    struct Reference
    {
        std::string part;
        std::string path;
        std::string name;
    };
    using Definitions = std::map<std::string, std::string>;

    void fail(FindingCode code, const std::string &part, const std::string &path,
              const std::string &found, const std::string &expected)
    {
        const std::string fault = "ound \"" + found + "\", expected " + expected;
        result_.errors.push_back(
            {part, "lists/" + part + ": " + path + ": f" + fault, code, path, "F" + fault + "."});
    }

    void define(Definitions &definitions, const std::string &part, const std::string &path,
                const std::string &name, const std::string &expected,
                FindingCode code = FindingCode::DuplicateName)
    {
        const auto [earlier, isNew] = definitions.emplace(name, "lists/" + part + ": " + path);
        if (!isNew)
            fail(code, part, path, name, expected + " (also in " + earlier->second + ")");
    }

    /// Reports a model or adapter whose memory differs between plans: the planner reserves the same
    /// amount for it, whichever plan uses it.
    void checkMemory(const std::string &part, const std::string &path, const decisions::Plan &plan)
    {
        for (std::size_t m = 0; m < plan.models.size(); ++m) {
            const decisions::ModelPermission &model = plan.models[m];
            const std::string modelPath = path + ".models[" + std::to_string(m) + "]";
            const std::string identity = model.model.value + ":" + model.version;
            checkSameMemory(part, modelPath, identity, model.memoryMiB);
            for (std::size_t a = 0; a < model.adapters.size(); ++a) {
                checkSameMemory(part, modelPath + ".adapters[" + std::to_string(a) + "]",
                                identity + ":" + model.adapters[a].adapter.value,
                                model.adapters[a].memoryMiB);
            }
        }
    }

    void checkSameMemory(const std::string &part, const std::string &path,
                         const std::string &identity, std::int64_t memoryMiB)
    {
        const auto [earlier, isNew] = memoryMiBByIdentity_.emplace(identity, memoryMiB);
        if (!isNew && earlier->second != memoryMiB) {
            fail(FindingCode::DifferentModelSizes, part, path + ".memoryMiB",
                 std::to_string(memoryMiB),
                 std::to_string(earlier->second) + " as in another plan");
        }
    }

    ListExamination result_;
    Definitions services_;
    Definitions plans_;
    Definitions organisations_;
    Definitions keys_;
    std::map<std::string, std::int64_t> memoryMiBByIdentity_;
    std::vector<Reference> serviceReferences_;
    std::vector<Reference> planReferences_;
};

} // namespace

ListExamination examineLists(const std::map<std::string, std::string> &textByPart,
                             PlanReferences planReferences)
{
    ListChecker checker;
    for (const auto &[part, text] : textByPart) {
        if (part.starts_with(kEntitlementsPrefix))
            checker.addEntitlements(part, text);
        else if (part.starts_with(kPlansPrefix))
            checker.addPlans(part, text);
        else
            checker.fail(part,
                         "lists/" + part + ": key: found \"" + part
                             + "\", expected plans/<part> or entitlements/<part>");
    }
    return checker.finish(planReferences);
}

std::variant<decisions::Catalogue, ListError>
checkLists(const std::map<std::string, std::string> &textByPart)
{
    ListExamination examination = examineLists(textByPart, PlanReferences::Checked);
    if (!examination.errors.empty())
        return std::move(examination.errors.front());
    return decisions::Catalogue::make(std::move(examination.contents));
}

} // namespace boragerack::config
