#include "local_system.h"

#include "http/server.h"

#include <cpprest/http_client.h>

#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <thread>
#include <unistd.h>

namespace persimmon::system_test {

namespace {

constexpr std::size_t httpThreads = 4;

// Blocks of ports lie below the kernel's range of ephemeral ports.
constexpr int portBlocks = 25;
constexpr int portsInBlock = 500;

// Returns a block of ports that no other test process uses. The lock ends with the process.
int lockPortBlock()
{
    for (int i = 0; i < portBlocks; ++i) {
        const auto block = (getpid() + i) % portBlocks;
        const auto path = std::filesystem::temp_directory_path()
                / ("persimmon-ports-" + std::to_string(block));
        const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
        if (file >= 0 && ::flock(file, LOCK_EX | LOCK_NB) == 0)
            return block;
        ::close(file);
    }
    return getpid() % portBlocks;
}

unsigned firstPortOfBlock()
{
    static unsigned next = 20000 + static_cast<unsigned>(lockPortBlock() * portsInBlock);
    const unsigned first = next;
    next += 50;
    return first;
}

std::string program(const std::string &package, const std::string &name)
{
    return std::string(PERSIMMON_PROGRAMS) + "/packages/" + package + "/" + name;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

web::json::value http_response::json() const
{
    std::error_code failure;
    return web::json::value::parse(body, failure);
}

http_response call(const std::string &address, const std::string &method, const std::string &path,
                   const std::string &body, const std::map<std::string, std::string> &headers,
                   milliseconds timeout)
{
    http::startThreads(httpThreads);
    http_response answer;
    try {
        web::http::client::http_client_config config;
        config.set_timeout(timeout);
        web::http::client::http_client client("http://" + address, config);
        web::http::http_request request(method);
        request.set_request_uri(path);
        if (!body.empty())
            request.set_body(body, "application/json");
        for (const auto &[name, value] : headers)
            request.headers().add(name, value);
        const auto response = client.request(request).get();
        answer.body = response.extract_string(true).get();
        for (const auto &[name, value] : response.headers())
            answer.headers[name] = value;
        answer.status = response.status_code();
    } catch (const std::exception &) {
        answer.status = 0;
    }
    return answer;
}

bool waitUntil(milliseconds timeout, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(milliseconds {20});
    }
    return true;
}

local_system::local_system(std::size_t controls, std::size_t entries)
    : nextPort_(firstPortOfBlock())
    , firstPort_(nextPort_)
    , controls_(controls)
    , entries_(entries)
{
    std::string pattern = std::filesystem::temp_directory_path() / "persimmon-test-XXXXXX";
    folder_ = mkdtemp(pattern.data());
    reservePorts(static_cast<unsigned>(controls * 2 + entries));
    writeSettings();
}

local_system::~local_system()
{
    controls_.clear();
    entries_.clear();
    if (std::getenv("PERSIMMON_KEEP") == nullptr)
        std::filesystem::remove_all(folder_);
}

unsigned local_system::reservePorts(unsigned count)
{
    const auto first = nextPort_;
    nextPort_ += count;
    return first;
}

std::string local_system::controlAddress(std::size_t number) const
{
    return "127.0.0.1:" + std::to_string(firstPort_ + 2 * number + 1);
}

std::string local_system::entryAddress(std::size_t number) const
{
    return "127.0.0.1:" + std::to_string(firstPort_ + 2 * controls_.size() + number);
}

std::vector<std::string> local_system::entryAddresses() const
{
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < entries_.size(); ++i)
        addresses.push_back(entryAddress(i));
    return addresses;
}

void local_system::writeSettings() const
{
    std::string voters;
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        voters += (i == 0 ? "" : ", ") + std::to_string(i + 1)
                + "@127.0.0.1:" + std::to_string(firstPort_ + 2 * i) + "/" + controlAddress(i);
    }
    const auto common = [&](const std::string &id, const std::string &listen) {
        return "[instance]\nid = " + id + "\nregion = region-1\nzone = a\n[http]\nlisten = "
                + listen + "\n[control]\nvoters = " + voters + "\n";
    };
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        const auto id = "control-" + std::to_string(i);
        writeFile(id + ".ini",
                  common(id, controlAddress(i)) + "voter_id = " + std::to_string(i + 1)
                          + "\nrpc_listen = 127.0.0.1:" + std::to_string(firstPort_ + 2 * i)
                          + "\ndata_folder = " + folder_ + "/" + id + "\n");
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const auto id = "entry-" + std::to_string(i);
        writeFile(id + ".ini", common(id, entryAddress(i)));
    }
}

std::string local_system::writeFile(const std::string &name, const std::string &text) const
{
    auto path = folder_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

void local_system::startControl(std::size_t number)
{
    const auto id = "control-" + std::to_string(number);
    controls_[number] = process({program("apps", "persimmond"), "--role=control", "--settings",
                                 folder_ + "/" + id + ".ini"},
                                folder_ + "/" + id + ".log");
}

void local_system::startEntry(std::size_t number)
{
    const auto id = "entry-" + std::to_string(number);
    entries_[number] = process({program("apps", "persimmond"), "--role=entry", "--settings",
                                folder_ + "/" + id + ".ini"},
                               folder_ + "/" + id + ".log");
}

void local_system::startAll()
{
    for (std::size_t i = 0; i < controls_.size(); ++i)
        startControl(i);
    for (std::size_t i = 0; i < entries_.size(); ++i)
        startEntry(i);
    waitUntil(milliseconds {10000}, [this] { return leader() >= 0; });
}

process local_system::startUpstreams(const std::string &prefix, unsigned firstPort,
                                     const std::vector<std::string> &arguments) const
{
    std::string entries;
    for (const auto &address : entryAddresses())
        entries += (entries.empty() ? "" : ",") + address;
    std::vector<std::string> command {program("tools", "upstream-standin"),
                                      "--entries",
                                      entries,
                                      "--prefix",
                                      prefix,
                                      "--port",
                                      std::to_string(firstPort)};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return {command, folder_ + "/" + prefix + ".log"};
}

int local_system::runCtl(const std::vector<std::string> &arguments)
{
    std::string addresses;
    for (std::size_t i = 0; i < controls_.size(); ++i)
        addresses += (i == 0 ? "" : ",") + controlAddress(i);
    std::vector<std::string> command {program("apps", "persimmonctl"), "--control", addresses};
    command.insert(command.end(), arguments.begin(), arguments.end());
    static int number = 0;
    const auto output = folder_ + "/ctl-" + std::to_string(number++) + ".log";
    const int code = process(command, output).waitForExit(milliseconds {30000});
    lastOutput_ = readFile(output);
    return code;
}

int local_system::applyTables(const std::string &tables)
{
    return runCtl({"apply", writeFile("tables.ini", tables)});
}

int local_system::leader() const
{
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        if (!controls_[i].running())
            continue;
        const auto answer
                = call(controlAddress(i), "GET", "/v1/status", {}, {}, milliseconds {1000});
        if (answer.status == 200)
            return static_cast<int>(i);
    }
    return -1;
}

} // namespace persimmon::system_test
