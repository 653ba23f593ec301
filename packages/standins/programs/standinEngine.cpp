#include <iostream>

#include <boost/program_options.hpp>

#include "boragerack/standins/EngineStandin.h"
#include "boragerack/standins/StandinProgram.h"

namespace options = boost::program_options;

int main(int argc, char **argv)
{
    const boragerack::standins::EngineOptions defaults;
    options::options_description description("Stand-in for a model engine");
    description.add_options()("listen",
                              options::value<std::string>()->default_value("127.0.0.1:0"))(
        "memory-mib", options::value<std::int64_t>()->default_value(defaults.memoryMiB))(
        "checks-fencing", options::value<bool>()->default_value(defaults.checksFencing))(
        "load-ms", options::value<std::int64_t>()->default_value(defaults.loadTime.count()))(
        "token-ms", options::value<std::int64_t>()->default_value(defaults.tokenTime.count()))(
        "report-lag-ms", options::value<std::int64_t>()->default_value(0));
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << std::endl;
        return 2;
    }
    const auto milliseconds = [&](const char *name) {
        return std::chrono::milliseconds(values[name].as<std::int64_t>());
    };
    boragerack::standins::EngineStandin engine(
        {.memoryMiB = values["memory-mib"].as<std::int64_t>(),
         .checksFencing = values["checks-fencing"].as<bool>(),
         .loadTime = milliseconds("load-ms"),
         .adapterLoadTime = defaults.adapterLoadTime,
         .tokenTime = milliseconds("token-ms"),
         .reportLag = milliseconds("report-lag-ms")});
    return boragerack::standins::serveUntilSignal(engine, values["listen"].as<std::string>());
}
