#include "boragerack/runtime/ExceptionBoundary.h"

#include <chrono>

#include <boost/fiber/operations.hpp>

#include "boragerack/runtime/EventLog.h"

namespace boragerack::runtime {

namespace {

constexpr std::chrono::milliseconds kPause(20);

} // namespace

void logException(std::string_view activity, std::string_view reason)
{
    logEvent(LogEvent::ExceptionCaught,
             "activity=" + std::string(activity) + " error=\"" + std::string(reason) + "\"");
}

void pauseAfterException()
{
    boost::this_fiber::sleep_for(kPause);
}

} // namespace boragerack::runtime
