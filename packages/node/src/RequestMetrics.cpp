#include "RequestMetrics.h"

namespace boragerack::node {

void countRequest(runtime::Metrics &metrics, const core::OrganisationId &organisation,
                  std::string_view destination, core::Verdict verdict,
                  const std::optional<core::Error> &error)
{
    const std::string_view outcome = error ? core::errorCodeName(error->code) : "completed";
    metrics.add("boragerack_requests_total",
                runtime::makeLabels({{"organisation", organisation.value},
                                     {"model", destination},
                                     {"outcome", outcome},
                                     {"verdict", core::verdictName(verdict)}}));
}

} // namespace boragerack::node
