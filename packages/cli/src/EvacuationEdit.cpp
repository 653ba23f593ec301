#include "EvacuationEdit.h"

#include <optional>

#include <boost/json.hpp>

namespace boragerack::cli {

namespace json = boost::json;

namespace {

constexpr std::string_view kEntitlementsPrefix = "entitlements/";
constexpr std::string_view kEvacuations = "evacuations";

/// Nothing for a text that is not a JSON object; the check of the lists reports it.
std::optional<json::object> parsePart(const std::string &text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

json::array *findEntries(json::object &part)
{
    json::value *entries = part.if_contains(kEvacuations);
    return entries ? entries->if_array() : nullptr;
}

bool isEntryFor(const json::value &entry, std::string_view dataCentre)
{
    const json::object *object = entry.if_object();
    const json::value *name = object ? object->if_contains("dataCentre") : nullptr;
    return name && name->is_string() && std::string_view(name->get_string()) == dataCentre;
}

/// Removes the entries for the data centre; returns whether there were any.
bool removeEntries(json::object &part, std::string_view dataCentre)
{
    json::array *entries = findEntries(part);
    if (!entries)
        return false;
    json::array kept;
    for (const json::value &entry : *entries) {
        if (!isEntryFor(entry, dataCentre))
            kept.push_back(entry);
    }
    const bool isChanged = kept.size() != entries->size();
    *entries = std::move(kept);
    return isChanged;
}

} // namespace

std::map<std::string, std::string> removeEvacuation(const StoredParts &stored,
                                                    std::string_view dataCentre)
{
    std::map<std::string, std::string> texts;
    for (const auto &[name, object] : stored) {
        if (!name.starts_with(kEntitlementsPrefix))
            continue;
        auto part = parsePart(object.text);
        if (part && removeEntries(*part, dataCentre))
            texts[name] = json::serialize(*part);
    }
    return texts;
}

std::set<std::string> findEvacuatingParts(const StoredParts &stored, std::string_view dataCentre)
{
    std::set<std::string> parts;
    for (const auto &[name, text] : removeEvacuation(stored, dataCentre))
        parts.insert(name);
    return parts;
}

std::map<std::string, std::string> addEvacuation(const StoredParts &stored,
                                                 std::string_view dataCentre)
{
    if (!findEvacuatingParts(stored, dataCentre).empty())
        return {};
    const std::string name(kEvacuationsPart);
    const auto existing = stored.find(name);
    json::object part;
    if (existing != stored.end()) {
        auto parsed = parsePart(existing->second.text);
        // An unreadable part is left as it is; the check of the lists then names its fault.
        if (!parsed)
            return {{name, existing->second.text}};
        part = std::move(*parsed);
    }
    if (!findEntries(part) && !part.contains(kEvacuations))
        part[kEvacuations] = json::array();
    if (json::array *entries = findEntries(part))
        entries->push_back(json::object {{"dataCentre", dataCentre}});
    return {{name, json::serialize(part)}};
}

} // namespace boragerack::cli
