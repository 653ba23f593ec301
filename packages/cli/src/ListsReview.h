#pragma once

#include "ListFiles.h"
#include "ReviewSubject.h"

namespace boragerack::cli {

/// Reviews parts of the plans list and of the entitlements list.
class ListsReview final : public ReviewSubject
{
public:
    explicit ListsReview(ListFiles files);

    /// Compared with the platform, the stored parts take the place of parts without a file.
    core::Result<ReviewReport> review(decisions::ReviewContext context,
                                      const ReviewBase &base) const override;

private:
    ListFiles files_;
};

} // namespace boragerack::cli
