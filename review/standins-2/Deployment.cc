#include "Deployment.hh"

#include <cstdlib>
#include <fstream>

#include <boost/json/parse.hpp>

namespace review {

boost::json::value makeConfiguration(std::uint64_t version, bool hasStreams)
{
    boost::json::value configuration = boost::json::parse(R"({
      "routes": [
        {"name":"r-hold","host":"yard.example","path-prefix":"/hold/","kind":"unsafe",
         "timeout-ms":800,"target-latency-ms":300,"priority":2,"service":"yardbook",
         "max-attempts":1,"public":false},
        {"name":"r-check","host":"yard.example","path-prefix":"/check/","kind":"safe",
         "timeout-ms":800,"target-latency-ms":300,"priority":2,"service":"yardbook",
         "max-attempts":2,"public":false},
        {"name":"r-note","host":"yard.example","path-prefix":"/note/","kind":"streaming",
         "timeout-ms":6000,"target-latency-ms":500,"priority":0,"service":"assessor",
         "max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":600}],
      "services": [
        {"name":"yardbook","health-path":"/healthz","max-connections":100},
        {"name":"assessor","health-path":"/healthz","max-connections":360,
         "engine":{"slots":64,"weights-mb":200000.0,"adapter-slots":8,"loads-per-s":3.3,
           "models":[
            {"name":"m0","weights-mb":42700.0,"load-time-s":6.0,"adapters":0,"adapter-mb":66.0,
             "warm-s":0.44,"disk-s":0.57},
            {"name":"m1","weights-mb":72700.0,"load-time-s":6.0,"adapters":0,"adapter-mb":66.0,
             "warm-s":0.63,"disk-s":0.84}]}}],
      "limits": {"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
                 "idle-timeout-ms":15000},
      "tenants": [{"name":"yard","api-keys":["key-1"],"unit":"tokens","plain-tokens":200,
                   "rate-per-s":0,"burst":0}]})");
    configuration.as_object()["version"] = version;
    if (!hasStreams)
        configuration.at("routes").as_array().pop_back();
    return configuration;
}

std::string formatRequest(const std::string &method, const std::string &path,
                          const std::string &attempt, std::int64_t deadlineMs,
                          const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + kHost
        + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Token " + kKey + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

struct Record::File
{
    std::ofstream stream;
};

Record::Record(const std::string &path)
    : file_(std::make_unique<File>())
{
    file_->stream.open(path);
}

Record::~Record() = default;

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    file_->stream << nowMs() << " " << text << std::endl;
}

bool isWithoutTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value && std::string(value) == "0";
}

} // namespace review
