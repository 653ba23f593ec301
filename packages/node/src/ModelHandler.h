#pragma once

#include "CallerContext.h"
#include "ModelRequest.h"
#include "RequestForwarder.h"
#include "boragerack/runtime/HttpResponder.h"

namespace boragerack::node {

/// Handles completion and chat completion requests.
class ModelHandler
{
public:
    explicit ModelHandler(const RequestDependencies &services);

    void handle(const runtime::HttpRequest &request, const CallerContext &context,
                runtime::HttpResponder &responder);

private:
    core::Result<decisions::Artifact> authorise(const ModelRequest &model,
                                                const CallerContext &context) const;
    void refuse(const core::Error &error, const CallerContext &context, const ModelRequest &model,
                runtime::HttpResponder &responder);
    core::Result<decisions::RequestNumber> reserve(std::int64_t tokens,
                                                   const CallerContext &context);
    ForwardingJob makeJob(const runtime::HttpRequest &request, const ModelRequest &model,
                          const decisions::Artifact &artifact, const CallerContext &context) const;
    void reportOutcome(const std::vector<decisions::CrashSuspect> &suspects,
                       const ForwardingResult &result);

    const RequestDependencies &services_;
};

} // namespace boragerack::node
