#include "record.h"

#include "net.h"

namespace standin {

record::record(const std::string &file)
    : file_(std::fopen(file.c_str(), "w"))
{
}

record::~record()
{
    if (file_ != nullptr)
        std::fclose(file_);
}

void record::line(const std::string &text)
{
    const std::lock_guard guard(mutex_);
    if (file_ == nullptr)
        return;
    std::fprintf(file_, "%7lld  %s\n", static_cast<long long>(nowMs()), text.c_str());
    std::fflush(file_);
}

} // namespace standin
