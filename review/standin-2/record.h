#pragma once
// The record of a case: what was sent, answered and run, one line for each, with the time in
// milliseconds.

#include <cstdio>
#include <mutex>
#include <string>

namespace standin {

class record
{
public:
    explicit record(const std::string &file);
    ~record();
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::FILE *file_;
};

} // namespace standin
