#pragma once

#include <utility>
#include <variant>

#include "boragerack/core/Error.h"

namespace boragerack::core {

/// A value, or the error that prevented it.
template<class T>
using Result = std::variant<T, Error>;

/// Value type of a Result that has no value on success.
using Nothing = std::monostate;

template<class T>
bool isOk(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

template<class T>
const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}

template<class T>
T takeValue(Result<T> &&result)
{
    return std::get<T>(std::move(result));
}

template<class T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

} // namespace boragerack::core
