#include "boragerack/config/ListCheck.h"

#include <optional>
#include <set>
#include <utility>

#include "boragerack/config/EntitlementsPart.h"
#include "boragerack/config/PlansPart.h"

namespace boragerack::config {

namespace {

constexpr std::string_view kPlansPrefix = "plans/";
constexpr std::string_view kEntitlementsPrefix = "entitlements/";

/// Checks parts one by one and against each other; remembers where each identity was defined.
class Checker
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
            contents_.services.push_back(std::move(lists.services[i]));
        }
        for (std::size_t i = 0; i < lists.plans.size(); ++i) {
            const std::string path = "plans[" + std::to_string(i) + "]";
            define(plans_, part, path + ".plan", lists.plans[i].plan,
                   "a plan that is defined once");
            checkMemory(part, path, lists.plans[i]);
            for (std::size_t s = 0; s < lists.plans[i].services.size(); ++s) {
                usedServices_.push_back({part, path + ".services[" + std::to_string(s) + "]",
                                         lists.plans[i].services[s].value});
            }
            contents_.plans.push_back(std::move(lists.plans[i]));
        }
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
            usedPlans_.push_back({part, path + ".plan", entry.plan});
            for (std::size_t k = 0; k < entry.keys.size(); ++k) {
                define(keys_, part, path + ".keys[" + std::to_string(k) + "].sha256",
                       core::toHex(entry.keys[k].sha256), "a digest that is used once");
            }
            contents_.organisations.push_back(std::move(entry));
        }
    }

    std::variant<decisions::Catalogue, ListError> finish()
    {
        for (const Use &use : usedServices_) {
            if (!services_.contains(use.name))
                fail(use.part, use.path, use.name, "a service of the entitlements list");
        }
        for (const Use &use : usedPlans_) {
            if (!plans_.contains(use.name))
                fail(use.part, use.path, use.name, "a plan of the entitlements list");
        }
        if (fault_)
            return *fault_;
        return decisions::Catalogue::make(std::move(contents_));
    }

    void fail(const std::string &part, std::string message)
    {
        if (!fault_)
            fault_ = ListError {part, std::move(message)};
    }

private:
    struct Use
    {
        std::string part;
        std::string path;
        std::string name;
    };
    using Definitions = std::map<std::string, std::string>;

    void fail(const std::string &part, const std::string &path, const std::string &found,
              const std::string &expected)
    {
        fail(part,
             "lists/" + part + ": " + path + ": found \"" + found + "\", expected " + expected);
    }

    void define(Definitions &definitions, const std::string &part, const std::string &path,
                const std::string &name, const std::string &expected)
    {
        const auto [earlier, isNew] = definitions.emplace(name, "lists/" + part + ": " + path);
        if (!isNew)
            fail(part, path, name, expected + " (also in " + earlier->second + ")");
    }

    /// The planner reserves one amount of memory for a model, whichever plan uses it.
    void checkMemory(const std::string &part, const std::string &path, const decisions::Plan &plan)
    {
        for (std::size_t m = 0; m < plan.models.size(); ++m) {
            const decisions::ModelPermission &model = plan.models[m];
            const std::string modelPath = path + ".models[" + std::to_string(m) + "]";
            const std::string identity = model.model.value + ":" + model.version;
            checkOneMemory(part, modelPath, identity, model.memoryMiB);
            for (std::size_t a = 0; a < model.adapters.size(); ++a) {
                checkOneMemory(part, modelPath + ".adapters[" + std::to_string(a) + "]",
                               identity + ":" + model.adapters[a].adapter.value,
                               model.adapters[a].memoryMiB);
            }
        }
    }

    void checkOneMemory(const std::string &part, const std::string &path,
                        const std::string &identity, std::int64_t memoryMiB)
    {
        const auto [earlier, isNew] = memory_.emplace(identity, memoryMiB);
        if (!isNew && earlier->second != memoryMiB) {
            fail(part, path + ".memoryMiB", std::to_string(memoryMiB),
                 std::to_string(earlier->second) + " as in another plan");
        }
    }

    decisions::CatalogueContents contents_;
    Definitions services_;
    Definitions plans_;
    Definitions organisations_;
    Definitions keys_;
    std::map<std::string, std::int64_t> memory_;
    std::vector<Use> usedServices_;
    std::vector<Use> usedPlans_;
    std::optional<ListError> fault_;
};

} // namespace

std::variant<decisions::Catalogue, ListError>
checkLists(const std::map<std::string, std::string> &textByPart)
{
    Checker checker;
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
    return checker.finish();
}

} // namespace boragerack::config
