#include "boragerack/config/PlansPart.h"

#include <utility>

#include "ObjectReader.h"

namespace boragerack::config {

namespace json = boost::json;

namespace {

decisions::CallerKey readKey(const json::value &value, const std::string &path,
                             ParseErrorCollector &errors)
{
    ObjectReader reader(value, path, errors);
    decisions::CallerKey key {reader.readName("name"), {}};
    const std::string hex = reader.readText("sha256");
    if (const auto digest = core::parseDigest(hex))
        key.sha256 = *digest;
    else
        // The text may be a key entered in place of its digest, so the error must not contain it.
        errors.report(reader.pathOf("sha256"), "a text of " + std::to_string(hex.size()) + " bytes",
                      "64 hexadecimal digits");
    reader.finish();
    return key;
}

decisions::Organisation readOrganisation(const json::value &value, const std::string &path,
                                         ParseErrorCollector &errors)
{
    ObjectReader reader(value, path, errors);
    decisions::Organisation organisation;
    organisation.organisation.value = reader.readName("organisation");
    organisation.plan = reader.readName("plan");
    reader.readArray("keys", [&](const json::value &element, const std::string &elementPath) {
        organisation.keys.push_back(readKey(element, elementPath, errors));
    });
    reader.finish();
    return organisation;
}

} // namespace

core::Result<PlansPart> parsePlansPart(std::string_view file, std::string_view text)
{
    ParseErrorCollector errors {std::string(file), {}};
    PlansPart part;
    readDocument(text, errors, [&](ObjectReader &reader) {
        reader.readArray("organisations", [&](const json::value &value, const std::string &path) {
            part.organisations.push_back(readOrganisation(value, path, errors));
        });
    });
    if (errors.message)
        return core::makeNotRunError(core::ErrorCode::InvalidRequest, *errors.message);
    return part;
}

} // namespace boragerack::config
