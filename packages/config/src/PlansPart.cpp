#include "boragerack/config/PlansPart.h"

#include <utility>

#include "ObjectReader.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

decisions::CallerKey readKey(const json::value &value, const std::string &path,
                             ParseErrorCollector &fault)
{
    ObjectReader reader(value, path, fault);
    decisions::CallerKey key {reader.readName("name"), {}};
    const std::string hex = reader.readText("sha256");
    if (const auto digest = core::parseDigest(hex))
        key.sha256 = *digest;
    else
        // The text may be a key that was entered in place of its digest, so it is not repeated.
        fault.report(reader.pathOf("sha256"), "a text of " + std::to_string(hex.size()) + " bytes",
                     "64 hexadecimal digits");
    reader.finish();
    return key;
}

decisions::Organisation readOrganisation(const json::value &value, const std::string &path,
                                         ParseErrorCollector &fault)
{
    ObjectReader reader(value, path, fault);
    decisions::Organisation organisation;
    organisation.organisation.value = reader.readName("organisation");
    organisation.plan = reader.readName("plan");
    reader.readArray("keys", [&](const json::value &element, const std::string &elementPath) {
        organisation.keys.push_back(readKey(element, elementPath, fault));
    });
    reader.finish();
    return organisation;
}

} // namespace

core::Result<PlansPart> parsePlansPart(std::string_view file, std::string_view text)
{
    ParseErrorCollector fault {std::string(file), {}};
    PlansPart part;
    readDocument(text, fault, [&](ObjectReader &reader) {
        reader.readArray("organisations", [&](const json::value &value, const std::string &path) {
            part.organisations.push_back(readOrganisation(value, path, fault));
        });
    });
    if (fault.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *fault.message);
    return part;
}

} // namespace boragerack::config
