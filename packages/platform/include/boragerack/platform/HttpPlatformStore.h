#pragma once

#include <string>

#include "boragerack/platform/PlatformStore.h"

namespace boragerack::runtime {
class HttpClient;
struct HttpRequest;
struct HttpResponse;
} // namespace boragerack::runtime

namespace boragerack::platform {

/// The object API over HTTP and JSON (docs/design.md, section 12).
class HttpPlatformStore final : public PlatformStore
{
public:
    HttpPlatformStore(runtime::HttpClient &client, std::string address,
                      std::chrono::milliseconds callTimeout);

    core::Result<std::optional<PlatformObject>> read(const std::string &key) override;
    core::Result<ObjectList> list(const std::string &prefix) override;
    WriteResult write(const std::string &key, const std::string &value,
                      std::optional<std::uint64_t> ifVersion) override;
    WriteResult remove(const std::string &key, std::uint64_t ifVersion) override;
    core::Result<ChangeList> watch(const std::string &prefix, std::uint64_t afterRevision,
                                   std::chrono::milliseconds wait) override;
    core::Result<std::vector<InstanceRecord>> listInstances() override;
    std::uint64_t era() const override { return era_; }

private:
    core::Result<runtime::HttpResponse>
    call(runtime::HttpRequest request,
         std::chrono::milliseconds extraTime = std::chrono::milliseconds(0));
    WriteResult change(runtime::HttpRequest request);

    runtime::HttpClient &client_;
    std::string address_;
    std::chrono::milliseconds callTimeout_;
    std::uint64_t era_ = 0;
};

} // namespace boragerack::platform
