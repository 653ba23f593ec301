#pragma once

#include <memory>
#include <string>

#include "ReviewSubject.h"
#include "boragerack/config/ConfigurationReader.h"

namespace boragerack::cli {

/// Reviews a serving configuration of the users' platform.
class ServingReview final : public ReviewSubject
{
public:
    ServingReview(std::string path, std::unique_ptr<config::ConfigurationReader> reader);

    core::Result<ReviewReport> review(decisions::ReviewContext context,
                                      const ReviewBase &base) const override;

private:
    core::Result<decisions::ServingConfiguration> readFile(const std::string &path) const;
    /// The base configuration, or an empty one if none is in effect. Adds what the platform knows
    /// of the targets to the context.
    core::Result<decisions::ServingConfiguration> readBase(const ReviewBase &base,
                                                           decisions::ReviewContext &context) const;

    std::string path_;
    std::unique_ptr<config::ConfigurationReader> reader_;
};

} // namespace boragerack::cli
