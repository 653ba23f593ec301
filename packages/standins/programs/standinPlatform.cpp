#include <iostream>

#include <boost/program_options.hpp>

#include "boragerack/standins/PlatformStandin.h"
#include "boragerack/standins/StandinProgram.h"

namespace options = boost::program_options;

int main(int argc, char **argv)
{
    options::options_description description("Stand-in for the platform's object API");
    description.add_options()("listen",
                              options::value<std::string>()->default_value("127.0.0.1:0"));
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << std::endl;
        return 2;
    }
    boragerack::standins::PlatformStandin platform;
    return boragerack::standins::serveUntilSignal(platform, values["listen"].as<std::string>());
}
