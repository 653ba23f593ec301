#pragma once

#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace review {

/// Exit codes of a case.
enum Outcome { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Lines of record.txt.
class Record
{
public:
    explicit Record(const std::string &folder)
        : file_(folder + "/record.txt", std::ios::trunc)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        file_ << text << '\n';
    }
    /// A line that is printed as well.
    void summary(const std::string &text)
    {
        line(text);
        std::cout << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace review
