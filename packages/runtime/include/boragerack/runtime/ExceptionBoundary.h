#pragma once

#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace boragerack::runtime {

/// Logs that an exception left `activity`; `reason` is its text.
void logException(std::string_view activity, std::string_view reason);

/// Waits before a task runs again after an exception, which may be thrown each time.
void pauseAfterException();

/// Calls the function on the current fiber. An exception derived from std::exception is logged
/// instead of ending the process; the result is then false. Others pass, because Boost.Context
/// unwinds fibers with one.
template<class Function>
bool runGuarded(std::string_view activity, Function &&function)
{
    // A caught exception belongs to the thread, so no other fiber may run before the catch block
    // has ended.
    std::string reason;
    try {
        std::forward<Function>(function)();
        return true;
    } catch (const std::exception &exception) {
        reason = exception.what();
    }
    logException(activity, reason);
    return false;
}

/// Runs the loop of a task until it returns. After an exception, the loop is entered again, so that
/// the task goes on with its next message.
template<class Function>
void runTask(std::string_view name, Function &&loop)
{
    while (!runGuarded(name, loop))
        pauseAfterException();
}

} // namespace boragerack::runtime
