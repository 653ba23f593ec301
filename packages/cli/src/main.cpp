#include <iostream>
#include <string>
#include <vector>

#include "boragerack/cli/CommandSet.h"
#include "boragerack/runtime/EventLog.h"

int main(int argc, char **argv)
{
    boragerack::runtime::initializeLog(argv[0]);
    return boragerack::cli::runCommandLine(std::vector<std::string>(argv + 1, argv + argc),
                                           {std::cin, std::cout, std::cerr});
}
