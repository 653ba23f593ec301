#include "boragerack/standins/JsonHttp.h"

#include <boost/json.hpp>

namespace boragerack::standins {

namespace json = boost::json;

runtime::HttpResponse makeJsonResponse(unsigned status, const json::value &body)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

json::value parseJsonBody(const runtime::HttpRequest &request)
{
    boost::system::error_code error;
    json::value value = json::parse(request.body, error);
    return error ? json::value() : value;
}

namespace {

const json::value *findMember(const json::value &object, std::string_view name)
{
    const json::object *members = object.if_object();
    return members ? members->if_contains(name) : nullptr;
}

} // namespace

std::int64_t integerOr(const json::value &object, std::string_view name, std::int64_t fallback)
{
    const json::value *member = findMember(object, name);
    return member && member->is_number() ? member->to_number<std::int64_t>() : fallback;
}

bool flagOr(const json::value &object, std::string_view name, bool fallback)
{
    const json::value *member = findMember(object, name);
    return member && member->is_bool() ? member->get_bool() : fallback;
}

std::string textOr(const json::value &object, std::string_view name, std::string_view fallback)
{
    const json::value *member = findMember(object, name);
    return member && member->is_string() ? std::string(member->get_string())
                                         : std::string(fallback);
}

} // namespace boragerack::standins
