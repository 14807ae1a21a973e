// Clients that stay outside the limits must not end a process, exhaust its memory or descriptors,
// or keep ordinary callers from an answer. Checks nothing that depends on the machine's speed. The
// crowds and the bounds are fixed; the process is checked while the connections of the crowd are
// still open.
#include "batch_system.h"
#include "hostile_crowd.h"

#include <dirent.h>
#include <sys/resource.h>

using namespace persimmon;
using namespace persimmon::system_test;

namespace {

// Peak of the resident memory of a process; the smallest instance has 120 MB.
constexpr std::uint64_t maxPeakKb = std::uint64_t {96} * 1024;

// Descriptors that a process may open, fewer than the connections of the largest crowd.
constexpr rlim_t maxDescriptors = 256;

// An ordinary request that isn't answered in this time counts as never answered.
constexpr milliseconds hangTime {30000};

// Lowers the limit of open descriptors for the processes that are started meanwhile.
class descriptor_limit
{
public:
    descriptor_limit()
    {
        getrlimit(RLIMIT_NOFILE, &earlier_);
        const rlimit lowered {maxDescriptors, earlier_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &earlier_); }
    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

private:
    rlimit earlier_ {};
};

// Allows the test itself as many descriptors as the system grants.
void raiseOwnDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

std::size_t openDescriptors(const process &item)
{
    std::size_t count = 0;
    if (DIR *folder = opendir(("/proc/" + std::to_string(item.id()) + "/fd").c_str())) {
        while (readdir(folder) != nullptr)
            ++count;
        closedir(folder);
    }
    return count;
}

// Presses on an address of a process with one crowd, and checks the process beside it.
void checkBeside(const hostile_plan &plan, process &target, const std::string &address,
                 const std::function<bool()> &ordinaryRequest)
{
    const auto context = plan.name + " at " + address;
    CHECK_TRUE_TEXT(waitUntil(hangTime, ordinaryRequest), ("no answer before " + context).c_str());
    const hostile_crowd crowd(address, plan);
    CHECK_TRUE_TEXT(waitUntil(hangTime, ordinaryRequest), ("no answer beside " + context).c_str());
    CHECK_TRUE_TEXT(target.isAlive(), ("the process ended: " + context).c_str());
    CHECK_TRUE_TEXT(target.peakResidentKb() <= maxPeakKb,
                    (std::to_string(target.peakResidentKb()) + " KiB beside " + context).c_str());
    CHECK_TRUE_TEXT(openDescriptors(target) <= maxDescriptors,
                    ("too many descriptors beside " + context).c_str());
}

std::function<bool()> get(const std::string &address, const std::string &path)
{
    return [address, path] {
        return call(address, "GET", path, {}, {{"Host", "h"}, {"Authorization", "Bearer key"}},
                    milliseconds {5000})
                       .status
                == 200;
    };
}

std::unique_ptr<batch_system> startBatchSystem()
{
    const descriptor_limit limit;
    return std::make_unique<batch_system>();
}

} // namespace

TEST_GROUP(HostileClients) {void setup() override {raiseOwnDescriptorLimit();
}

void checkRequests(process &target, const std::string &address,
                   const std::function<bool()> &ordinaryRequest)
{
    for (const auto &plan : hostileRequests())
        checkBeside(plan, target, address, ordinaryRequest);
    checkBeside(silentConnections(), target, address, ordinaryRequest);
}
}
;

// Guards against consumers that exhaust a gateway.
TEST(HostileClients, gatewayBearsConsumers)
{
    const auto system = startBatchSystem();
    CHECK_TRUE(system->configure());
    checkRequests(system->gatewayProcess(), system->gatewayAddress(),
                  [&system] { return system->sendToGateway("GET", "/q/").status == 200; });
}

// Guards against callers of the readiness endpoint that exhaust a gateway.
TEST(HostileClients, gatewayBearsCallersOfItsReadiness)
{
    const auto system = startBatchSystem();
    CHECK_TRUE(system->configure());
    checkRequests(system->gatewayProcess(), system->gatewayReadyAddress(),
                  get(system->gatewayReadyAddress(), "/ready"));
}

// Guards against callers of the metrics endpoint that exhaust a gateway.
TEST(HostileClients, gatewayBearsCallersOfItsMetrics)
{
    const auto system = startBatchSystem();
    checkRequests(system->gatewayProcess(), system->gatewayMetricsAddress(),
                  get(system->gatewayMetricsAddress(), "/metrics"));
}

// Guards against callers that exhaust a scheduler by its listener for workers and operators.
TEST(HostileClients, schedulerBearsWorkersAndOperators)
{
    const auto system = startBatchSystem();
    CHECK_TRUE(system->configure());
    checkRequests(system->schedulerProcess(0), system->schedulerAddress(0),
                  get(system->schedulerAddress(0), "/config"));
}

// Guards against callers of the metrics endpoint that exhaust a scheduler.
TEST(HostileClients, schedulerBearsCallersOfItsMetrics)
{
    const auto system = startBatchSystem();
    checkRequests(system->schedulerProcess(0), system->schedulerMetricsAddress(0),
                  get(system->schedulerMetricsAddress(0), "/metrics"));
}

// Guards against peers on the port between processes that exhaust a scheduler.
TEST(HostileClients, schedulerBearsPeers)
{
    const auto system = startBatchSystem();
    CHECK_TRUE(system->configure());
    checkBeside(unfinishedMessages(), system->schedulerProcess(0), system->schedulerPeerAddress(0),
                get(system->schedulerAddress(0), "/config"));
}

// Guards against callers that exhaust an entry.
TEST(HostileClients, entryBearsCallers)
{
    local_system system(3, 1);
    {
        const descriptor_limit limit;
        system.startAll();
    }
    checkRequests(system.entryProcess(0), system.entryAddress(0),
                  get(system.entryAddress(0), "/healthz"));
}

// Guards against callers that exhaust a control process by its listener for operators.
TEST(HostileClients, controlBearsOperators)
{
    local_system system(3, 1);
    {
        const descriptor_limit limit;
        system.startAll();
    }
    checkRequests(system.controlProcess(0), system.controlAddress(0),
                  get(system.controlAddress(0), "/metrics"));
}
