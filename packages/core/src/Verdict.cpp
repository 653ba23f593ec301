#include "boragerack/core/Verdict.h"

namespace boragerack::core {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    case Verdict::Ran:
        return "ran";
    }
    return "may_have_run";
}

} // namespace boragerack::core
