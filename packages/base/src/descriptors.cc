#include "base/descriptors.h"

#include <sys/resource.h>

namespace persimmon {

namespace {

constexpr std::size_t assumedDescriptors = 1024; // if the system doesn't tell

} // namespace

std::size_t maxDescriptors()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return assumedDescriptors;
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace persimmon
