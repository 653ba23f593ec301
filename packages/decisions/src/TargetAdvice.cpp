#include "boragerack/decisions/TargetAdvice.h"

namespace boragerack::decisions {

std::string describeRate(std::optional<double> requestsPerSecond)
{
    return requestsPerSecond ? std::to_string(*requestsPerSecond) : "none";
}

} // namespace boragerack::decisions
