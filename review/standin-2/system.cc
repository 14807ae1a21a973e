#include "system.h"

#include "net.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace {

constexpr auto program = "target/bin/persimmond";
constexpr int controlPort = 8526;
constexpr int frontPort = 8521;
constexpr int readyPort = 8523;
constexpr int metricsPort = 19464;
constexpr int rpcPort = 7000;

std::string endpoint(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

} // namespace

small_system::small_system(record &log, int schedulerCount, int gatewayCount)
    : log_(log)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    // Loopback addresses of which no port is in use by another run.
    std::random_device random;
    do {
        net_ = "127." + std::to_string(10 + random() % 200) + "."
                + std::to_string(1 + random() % 250) + ".";
    } while (isListening(endpoint(net_ + "11", controlPort))
             || isListening(endpoint(net_ + "101", frontPort)));
    for (int i = 0; i < schedulerCount; ++i) {
        process item;
        item.name = "scheduler-" + std::to_string(i + 1);
        item.ip = net_ + std::to_string(11 + i);
        item.address = endpoint(item.ip, controlPort);
        item.settings = folder_ + "/" + item.name + ".ini";
        item.command = {program, "--role=scheduler", "--settings=" + item.settings};
        if (i < 3)
            seeds_ += (i > 0 ? "," : "") + item.address;
        schedulers.push_back(item);
    }
    for (int i = 0; i < gatewayCount; ++i) {
        process item;
        item.name = "gateway-" + std::to_string(i + 1);
        item.ip = net_ + std::to_string(101 + i);
        item.address = endpoint(item.ip, frontPort);
        item.settings = folder_ + "/" + item.name + ".ini";
        item.command = {program, "--role=gateway", "--settings=" + item.settings};
        gateways.push_back(item);
    }
    for (auto &item : schedulers)
        writeSettings(item, true, true);
    for (auto &item : gateways)
        writeSettings(item, false, true);
}

// What the templates of the deploy file give for a site of five `core` machines, without `advice`
// and `cloud`.
void small_system::writeSettings(process &item, bool isScheduler, bool first) const
{
    std::ofstream file(item.settings);
    file << "[instance]\nid = " << item.name << "\nip = " << item.ip << "\nzone = z1\n";
    if (isScheduler)
        file << "zones = z1\n";
    file << "grace_s = 6\n[http]\nlisten = " << item.address << "\n";
    if (!isScheduler)
        file << "ready_listen = " << endpoint(item.ip, readyPort) << "\n";
    file << "metrics_listen = " << endpoint(item.ip, metricsPort) << "\n";
    file << "[limits]\ndescriptors = 4096\nmemory_mb = 256\n";
    file << "[group]\nrpc_port = " << rpcPort << "\nseeds = " << seeds_ << "\n";
    if (!isScheduler)
        return;
    file << "data_folder = " << folder_ << "/data-" << item.name
         << "\nbootstrap = " << (first ? "true" : "false")
         << "\ntolerated_losses = 1\n[workers]\nheartbeat_ms = 1500\nmax_lease_ms = "
            "6000\ncheckpoint_s = 1\n"
         << "[machines]\nupkeep_s = 2\norder_lease_ms = 3000\n[jobs]\nkeep_ended_s = 120\n";
}

small_system::~small_system()
{
    for (auto *group : {&gateways, &schedulers}) {
        for (auto &item : *group) {
            if (item.pid > 0) {
                ::kill(item.pid, SIGKILL);
                ::waitpid(item.pid, nullptr, 0);
            }
        }
    }
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    } else {
        log_.line("logs are in " + std::filesystem::path(folder_).filename().string());
    }
}

void small_system::launch(process &item)
{
    const auto output = folder_ + "/" + item.name + ".log";
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(file, 1);
        ::dup2(file, 2);
        ::setenv("PERSIMMONPROXY_NODE_FILE", item.settings.c_str(), 1);
        std::vector<char *> words;
        for (auto &word : item.command)
            words.push_back(word.data());
        words.push_back(nullptr);
        ::execv(words[0], words.data());
        ::_exit(127);
    }
    item.pid = pid;
    log_.line("process " + item.name + " started");
}

bool small_system::start()
{
    for (auto &item : schedulers)
        launch(item);
    for (auto &item : gateways)
        launch(item);
    const auto deadline = nowMs() + 20000;
    for (const auto &item : gateways) {
        while (true) {
            const auto ready = call(endpoint(item.ip, readyPort), "GET", "/ready", {}, "", 500);
            if (ready && ready->status == 200)
                break;
            if (nowMs() > deadline)
                return false;
            sleepMs(100);
        }
    }
    for (auto &item : schedulers)
        writeSettings(item, true, false); // the next start isn't the first one
    return true;
}

std::vector<std::string> small_system::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &item : schedulers)
        addresses.push_back(item.address);
    return addresses;
}

void small_system::signal(process &to, int number)
{
    if (to.pid <= 0)
        return;
    log_.line("signal " + std::string(::sigabbrev_np(number)) + " to " + to.name);
    ::kill(to.pid, number);
    if (number == SIGKILL) {
        ::waitpid(to.pid, nullptr, 0);
        to.pid = -1;
    }
}

void small_system::restart(process &item)
{
    launch(item);
}

process *small_system::leader()
{
    for (auto &item : schedulers) {
        if (item.pid <= 0)
            continue;
        const auto page = call(endpoint(item.ip, metricsPort), "GET", "/metrics", {}, "", 500);
        if (page && page->body.find("what=\"leading\"} 1") != std::string::npos)
            return &item;
    }
    return nullptr;
}

} // namespace standin
