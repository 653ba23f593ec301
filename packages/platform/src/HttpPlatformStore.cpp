#include "boragerack/platform/HttpPlatformStore.h"

#include <utility>

#include <boost/url/encode.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "PlatformJson.h"
#include "boragerack/core/StoreVersion.h"
#include "boragerack/platform/CallError.h"
#include "boragerack/platform/StoreEra.h"
#include "boragerack/runtime/HttpClient.h"

namespace boragerack::platform {

namespace urls = boost::urls;

namespace {

enum Status : unsigned { Ok = 200, NotFound = 404, Gone = 410, PreconditionFailed = 412 };

std::string objectTarget(const std::string &key)
{
    return "/objects/" + urls::encode(key, urls::unreserved_chars + '/');
}

std::uint64_t eraOf(const runtime::HttpResponse &response)
{
    return parseEra(response, "X-Store-Era");
}

/// Number of the version that a response with this era contains.
std::uint64_t toVersion(std::uint64_t era, std::uint64_t revision)
{
    return core::toVersionNumber({era, revision});
}

std::string revisionText(std::uint64_t version)
{
    return std::to_string(core::toStoreVersion(version).revision);
}

/// Adds the era to the version of a parsed object.
core::Result<std::optional<PlatformObject>>
withEra(core::Result<std::optional<PlatformObject>> object, std::uint64_t era)
{
    if (core::isOk(object) && core::valueOf(object)) {
        PlatformObject parsed = *core::valueOf(object);
        parsed.version = toVersion(era, parsed.version);
        return std::optional(std::move(parsed));
    }
    return object;
}

std::string encodeParameter(const std::string &value)
{
    return urls::encode(value, urls::unreserved_chars + '/');
}

core::Error makeStatusError(unsigned status)
{
    // The platform returns 503 before it processes the request.
    constexpr unsigned kServiceUnavailable = 503;
    return {core::ErrorCode::PlatformUnavailable,
            status == kServiceUnavailable ? core::Verdict::NotRun : core::Verdict::MayHaveRun,
            "platform answered status " + std::to_string(status), std::chrono::seconds(1)};
}

} // namespace

HttpPlatformStore::HttpPlatformStore(runtime::HttpClient &client, std::string address,
                                     std::chrono::milliseconds callTimeout)
    : client_(client)
    , address_(std::move(address))
    , callTimeout_(callTimeout)
{
}

core::Result<runtime::HttpResponse> HttpPlatformStore::call(runtime::HttpRequest request,
                                                            std::chrono::milliseconds extraTime)
{
    const auto deadline = std::chrono::steady_clock::now() + callTimeout_ + extraTime;
    auto result = client_.call(address_, std::move(request), deadline);
    if (!core::isOk(result)) {
        core::Error error = makePlatformCallError(core::errorOf(result));
        error.retryAfter = std::chrono::seconds(1);
        return error;
    }
    era_ = eraOf(core::valueOf(result));
    return result;
}

core::Result<std::optional<PlatformObject>> HttpPlatformStore::read(const std::string &key)
{
    const auto response = call({"GET", objectTarget(key), {}, ""});
    if (!core::isOk(response))
        return core::errorOf(response);
    const auto &answer = core::valueOf(response);
    if (answer.status == Status::NotFound)
        return std::optional<PlatformObject>();
    if (answer.status != Status::Ok)
        return makeStatusError(answer.status);
    return withEra(parseObject(answer.body), eraOf(answer));
}

core::Result<ObjectList> HttpPlatformStore::list(const std::string &prefix)
{
    const auto response = call({"GET", "/objects?prefix=" + encodeParameter(prefix), {}, ""});
    if (!core::isOk(response))
        return core::errorOf(response);
    const auto &answer = core::valueOf(response);
    if (answer.status != Status::Ok)
        return makeStatusError(answer.status);
    auto parsed = parseObjectList(answer.body);
    if (!core::isOk(parsed))
        return core::errorOf(parsed);
    ObjectList objects = core::takeValue(std::move(parsed));
    const std::uint64_t era = eraOf(answer);
    objects.revision = toVersion(era, objects.revision);
    for (PlatformObject &object : objects.objects)
        object.version = toVersion(era, object.version);
    return objects;
}

WriteResult HttpPlatformStore::write(const std::string &key, const std::string &value,
                                     std::optional<std::uint64_t> ifVersion)
{
    runtime::HttpRequest request {
        "PUT", objectTarget(key), {{"Content-Type", "application/json"}}, value};
    if (ifVersion)
        request.headers.push_back({"If-Match", revisionText(*ifVersion)});
    else
        request.headers.push_back({"If-None-Match", "*"});
    return change(std::move(request));
}

WriteResult HttpPlatformStore::remove(const std::string &key, std::uint64_t ifVersion)
{
    return change({"DELETE", objectTarget(key), {{"If-Match", revisionText(ifVersion)}}, ""});
}

WriteResult HttpPlatformStore::change(runtime::HttpRequest request)
{
    const auto response = call(std::move(request));
    if (!core::isOk(response))
        return core::errorOf(response);
    const auto &answer = core::valueOf(response);
    if (answer.status == Status::Ok) {
        const auto version = parseWrittenVersion(answer.body);
        if (!core::isOk(version))
            return core::errorOf(version);
        return WriteApplied {toVersion(eraOf(answer), core::valueOf(version))};
    }
    if (answer.status == Status::NotFound)
        return WriteConflict();
    if (answer.status != Status::PreconditionFailed)
        return makeStatusError(answer.status);
    const auto current = withEra(parseObject(answer.body), eraOf(answer));
    if (!core::isOk(current))
        return core::errorOf(current);
    return WriteConflict {core::valueOf(current)};
}

core::Result<ChangeList> HttpPlatformStore::watch(const std::string &prefix,
                                                  std::uint64_t afterRevision,
                                                  std::chrono::milliseconds wait)
{
    const std::string target = "/watch?prefix=" + encodeParameter(prefix)
        + "&after=" + revisionText(afterRevision) + "&waitMs=" + std::to_string(wait.count());
    const auto response = call({"GET", target, {}, ""}, wait);
    if (!core::isOk(response))
        return core::errorOf(response);
    const auto &answer = core::valueOf(response);
    const std::uint64_t era = eraOf(answer);
    // A restored platform gives revisions out again and may answer without the changes before.
    if (answer.status == Status::Gone
        || (answer.status == Status::Ok && era != core::toStoreVersion(afterRevision).era))
        return ChangeList {.isExpired = true};
    if (answer.status != Status::Ok)
        return makeStatusError(answer.status);
    auto parsed = parseChangeList(answer.body);
    if (!core::isOk(parsed))
        return core::errorOf(parsed);
    ChangeList changes = core::takeValue(std::move(parsed));
    changes.revision = toVersion(era, changes.revision);
    for (ObjectChange &change : changes.changes)
        change.version = toVersion(era, change.version);
    return changes;
}

core::Result<std::vector<InstanceRecord>> HttpPlatformStore::listInstances()
{
    const auto response = call({"GET", "/instances", {}, ""});
    if (!core::isOk(response))
        return core::errorOf(response);
    const auto &answer = core::valueOf(response);
    if (answer.status != Status::Ok)
        return makeStatusError(answer.status);
    return parseInstances(answer.body);
}

} // namespace boragerack::platform
