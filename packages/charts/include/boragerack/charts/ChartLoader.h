#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "boragerack/charts/ChartParser.h"
#include "boragerack/core/Error.h"

namespace boragerack::charts {

/// Loads charts from a directory and records the first error. A chart that fails to load is null.
class ChartLoader
{
public:
    explicit ChartLoader(std::filesystem::path directory)
        : directory_(std::move(directory))
    {
    }

    template<class Binding, class Bind>
    std::shared_ptr<const Binding> load(std::string_view name, Bind bind)
    {
        const auto chart = loadChart(directory_, name);
        if (!core::isOk(chart))
            return fail<Binding>(core::errorOf(chart));
        auto binding = bind(core::valueOf(chart));
        if (!core::isOk(binding))
            return fail<Binding>(core::errorOf(binding));
        return std::make_shared<const Binding>(core::takeValue(std::move(binding)));
    }

    std::shared_ptr<const StateChart> load(std::string_view name)
    {
        return load<StateChart>(
            name, [](const StateChart &chart) { return core::Result<StateChart>(chart); });
    }

    const std::optional<core::Error> &error() const { return error_; }

private:
    template<class Binding>
    std::shared_ptr<const Binding> fail(const core::Error &error)
    {
        if (!error_)
            error_ = error;
        return nullptr;
    }

    std::filesystem::path directory_;
    std::optional<core::Error> error_;
};

} // namespace boragerack::charts
