#include "stage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto started = std::chrono::steady_clock::now();
std::ofstream recordFile;
std::mutex recordMutex;

std::uint64_t randomNumber()
{
    static std::mutex mutex;
    static std::mt19937_64 generator {std::random_device {}()};
    const std::scoped_lock lock(mutex);
    return generator();
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("can't read " + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

bool waitFor(int socket, short events, std::int64_t until)
{
    while (true) {
        pollfd item {socket, events, 0};
        const auto left = until - now();
        if (left <= 0)
            return false;
        const int ready = ::poll(&item, 1, static_cast<int>(left));
        if (ready > 0)
            return true;
        if (ready == 0 || errno != EINTR)
            return false;
    }
}

// Returns a port that is free on all addresses.
int freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    socklen_t size = sizeof(address);
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), size) != 0)
        throw std::runtime_error("no free port");
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

// Renders a template of the deploy file: values, and sections for values that are present.
const json *lookUp(const json &fields, const std::string &name)
{
    const json *at = &fields;
    std::istringstream parts(name);
    for (std::string part; std::getline(parts, part, '.');) {
        if (at->is_array()) {
            const auto index = std::stoul(part);
            if (index >= at->as_array().size())
                return nullptr;
            at = &at->as_array().at(index);
            continue;
        }
        if (!at->is_object())
            return nullptr;
        const auto found = at->as_object().find(part);
        if (found == at->as_object().end())
            return nullptr;
        at = &found->second;
    }
    return at;
}

bool isPresent(const json *value)
{
    return value != nullptr && !value->is_null() && !(value->is_boolean() && !value->as_bool());
}

std::string plain(const json &value)
{
    if (value.is_string())
        return value.as_string();
    if (!value.is_array())
        return value.is_null() ? std::string {} : value.serialize();
    std::string joined;
    for (const auto &item : value.as_array())
        joined += (joined.empty() ? "" : ",") + plain(item);
    return joined;
}

std::string render(const std::string &text, const json &fields)
{
    std::string out;
    std::size_t at = 0;
    while (true) {
        const auto open = text.find("{{", at);
        out += text.substr(at, open == std::string::npos ? open : open - at);
        if (open == std::string::npos)
            return out;
        const auto close = text.find("}}", open);
        auto name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (name[0] == '#' || name[0] == '^') {
            const auto tail = "{{/" + name.substr(1) + "}}";
            const auto end = text.find(tail, at);
            const bool shown = isPresent(lookUp(fields, name.substr(1))) == (name[0] == '#');
            if (shown)
                out += render(text.substr(at, end - at), fields);
            at = end + tail.size();
            continue;
        }
        const auto bar = name.find('|');
        const auto *value = lookUp(fields, name.substr(0, bar));
        if (value != nullptr)
            out += bar == std::string::npos ? plain(*value) : value->serialize();
    }
}

// Returns a text value of a role in the deploy file.
std::string roleValue(const std::string &role, const std::string &key)
{
    std::istringstream file(readFile("deploy/system.toml"));
    bool inside = false;
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line[0] == '[')
            inside = line == "[roles." + role + "]";
        if (inside && line.rfind(key + " = \"", 0) == 0) {
            const auto from = line.find('"') + 1;
            return line.substr(from, line.rfind('"') - from);
        }
    }
    throw std::runtime_error("no " + key + " of role " + role);
}

} // namespace

std::int64_t now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - started)
            .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void record(const std::string &line)
{
    const std::scoped_lock lock(recordMutex);
    recordFile << now() << " " << line << std::endl;
}

std::string newId()
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(randomNumber()));
    return text;
}

reply call(const std::string &address, const std::string &method, const std::string &path,
           const std::map<std::string, std::string> &headers, const std::string &body,
           std::int64_t timeoutMs)
{
    const auto until = now() + timeoutMs;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto closer = std::shared_ptr<void>(nullptr, [socket](void *) { ::close(socket); });
    sockaddr_in to {};
    to.sin_family = AF_INET;
    const auto colon = address.find(':');
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (::connect(socket, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0
        && errno != EINPROGRESS)
        return {};
    if (!waitFor(socket, POLLOUT, until))
        return {};
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host"))
        text += "Host: " + address + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n"
            + body;
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto done = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (done > 0)
            sent += static_cast<std::size_t>(done);
        else if (errno != EAGAIN || !waitFor(socket, POLLOUT, until))
            return {};
    }
    std::string in;
    while (true) {
        const auto head = in.find("\r\n\r\n");
        if (head != std::string::npos) {
            std::string lower = in.substr(0, head);
            std::ranges::transform(lower, lower.begin(),
                                   [](unsigned char c) { return std::tolower(c); });
            const auto length = lower.find("content-length:");
            const std::size_t size
                    = length == std::string::npos ? 0 : std::stoul(lower.substr(length + 15));
            if (in.size() >= head + 4 + size)
                return {std::stoi(in.substr(9, 3)), in.substr(head + 4, size)};
        }
        char buffer[16384];
        const auto got = ::recv(socket, buffer, sizeof(buffer), 0);
        if (got > 0)
            in.append(buffer, static_cast<std::size_t>(got));
        else if (got == 0 || errno != EAGAIN || !waitFor(socket, POLLIN, until))
            return {};
    }
}

http_server::http_server(std::function<reply(const request &)> handle)
    : handle_(std::move(handle))
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    if (::bind(listener_, reinterpret_cast<sockaddr *>(&at), size) != 0
        || ::listen(listener_, 64) != 0)
        throw std::runtime_error("a stand-in can't listen");
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&at), &size);
    port_ = ntohs(at.sin_port);
    accepting_ = std::thread([this] {
        while (!over_) {
            pollfd item {listener_, POLLIN, 0};
            if (::poll(&item, 1, 20) <= 0)
                continue;
            const int channel = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (channel >= 0)
                channels_.emplace_back([this, channel] { serve(channel); });
        }
    });
}

http_server::~http_server()
{
    over_ = true;
    accepting_.join();
    for (auto &item : channels_)
        item.join();
    ::close(listener_);
}

void http_server::serve(int channel)
{
    std::string in;
    while (!over_) {
        const auto head = in.find("\r\n\r\n");
        if (head != std::string::npos) {
            request item;
            std::istringstream lines(in.substr(0, head));
            std::string line;
            std::getline(lines, line);
            std::istringstream first(line);
            first >> item.path >> item.path;
            while (std::getline(lines, line)) {
                const auto colon = line.find(':');
                const auto from = line.find_first_not_of(" ", colon + 1);
                const auto end = line.find_last_not_of("\r") + 1;
                if (colon != std::string::npos && from < end)
                    item.headers[line.substr(0, colon)] = line.substr(from, end - from);
            }
            const auto length = item.headers.contains("Content-Length")
                    ? std::stoul(item.headers["Content-Length"])
                    : 0UL;
            if (in.size() >= head + 4 + length) {
                item.body = in.substr(head + 4, length);
                in.erase(0, head + 4 + length);
                const auto answer = handle_(item);
                if (answer.status == 0)
                    break;
                const auto text = "HTTP/1.1 " + std::to_string(answer.status)
                        + " -\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
                ::send(channel, text.data(), text.size(), MSG_NOSIGNAL);
                continue;
            }
        }
        if (!waitFor(channel, POLLIN, now() + 50))
            continue;
        char buffer[8192];
        const auto got = ::recv(channel, buffer, sizeof(buffer), 0);
        if (got <= 0)
            break;
        in.append(buffer, static_cast<std::size_t>(got));
    }
    ::close(channel);
}

// ---- workers

worker::worker(stage &owner, worker_options options)
    : owner_(owner)
    , options_(std::move(options))
{
    beats_ = std::thread([this] { beatLoop(); });
    work_ = std::thread([this] { workLoop(); });
}

worker::~worker()
{
    closing_ = true;
    beats_.join();
    work_.join();
}

void worker::boot()
{
    const std::scoped_lock lock(mutex_);
    ++boots_;
    born_ = unixMs();
    bornAt_ = now();
    sequence_ = fence_ = leaseUntil_ = lastEnd_ = 0;
    nextBeat_ = now();
    running_.clear();
    ended_.clear();
    closed_.clear();
    target_ = owner_.scheduler(
            static_cast<int>(randomNumber() % static_cast<unsigned>(owner_.schedulerCount())));
    bootAt_ = 0;
    up_ = true;
    record("worker " + options_.id + " boots");
}

void worker::crash()
{
    const std::scoped_lock lock(mutex_);
    up_ = false;
    for (const auto &[task, item] : running_)
        record("worker " + options_.id + " crashes under " + task + " run "
               + std::to_string(item.run));
    record("worker " + options_.id + " crashes");
    const std::scoped_lock gangs(owner_.gangs);
    for (const auto &[task, item] : running_)
        owner_.present[task.substr(0, task.rfind('.')) + "/" + std::to_string(item.run)].erase(
                std::stoi(task.substr(task.rfind('.') + 1)));
    running_.clear();
    ++boots_;
}

void worker::crashFor(std::int64_t ms)
{
    const std::scoped_lock lock(mutex_);
    crash();
    bootAt_ = now() + ms;
}

bool worker::runs(const std::string &id) const
{
    const std::scoped_lock lock(mutex_);
    return up_ && std::ranges::any_of(running_, [&](const auto &item) {
               return item.second.of->id == id;
           });
}

std::int64_t worker::usedGpu() const
{
    const std::scoped_lock lock(mutex_);
    std::int64_t used = 0;
    for (const auto &[task, item] : running_)
        used += item.of->steps[static_cast<std::size_t>(item.stepIndex)].gpu;
    return used;
}

std::string worker::report()
{
    auto body = json::object();
    body["service"] = json::string(options_.service);
    body["addr"] = json::string(options_.address);
    body["zone"] = json::string(options_.zone);
    body["machine"] = json::string(options_.machine);
    body["version"] = json::string("v1");
    body["slots"] = json::number(8);
    body["state"] = json::string("ready");
    body["warmup_left_ms"] = json::number(0);
    auto capacity = json::object();
    capacity["cpu"] = json::number(options_.cpu);
    capacity["mem_mb"] = json::number(options_.memory);
    capacity["gpu"] = json::number(options_.gpu);
    body["capacity"] = capacity;
    body["labels"] = json::array({json::string(options_.kind), json::string(options_.rack)});
    body["born"] = json::number(born_);
    body["clock_ms"] = json::number(now() - bornAt_ + 1);
    body["seq"] = json::number(++sequence_);
    std::vector<json> rows;
    for (const auto &[task, item] : running_) {
        const auto &spec = item.of->steps[static_cast<std::size_t>(item.stepIndex)];
        const auto percent = spec.longRunning
                ? (item.workedMs > 300 ? 100 : 0)
                : std::min<std::int64_t>(99, item.workedMs * 100 / spec.workMs);
        if (item.stopAtMs < 0)
            rows.push_back(
                    json::array({json::string(task), json::number(item.run), json::string(""),
                                 json::number(percent), json::number(spec.cpu)}));
    }
    body["running"] = json::array(rows);
    rows.clear();
    for (const auto &item : ended_) {
        if (rows.size() < 500)
            rows.push_back(json::array({json::number(item.number), json::string(item.task),
                                        json::number(item.run), json::string(item.how),
                                        json::string("")}));
    }
    body["ended"] = json::array(rows);
    return body.serialize();
}

void worker::beatLoop()
{
    while (!closing_) {
        sleepMs(5);
        std::string body;
        std::string target;
        std::int64_t boots = 0;
        {
            const std::scoped_lock lock(mutex_);
            if (!up_ || now() < nextBeat_)
                continue;
            body = report();
            target = target_;
            boots = boots_;
        }
        const auto sent = now();
        const auto answer = call(target, "PUT", "/instances/" + options_.id, {}, body, 1000);
        const std::scoped_lock lock(mutex_);
        if (boots != boots_)
            continue;
        nextBeat_ = now() + 50;
        if (answer.body.size() > maxAnswerBytes)
            record("worker " + options_.id + " drops an answer of "
                   + std::to_string(answer.body.size()) + " bytes");
        if (answer.status < 200 || answer.status > 299 || now() - sent > 1000
            || answer.body.size() > maxAnswerBytes) {
            int index = 0;
            for (int i = 0; i < owner_.schedulerCount(); ++i)
                index = owner_.scheduler(i) == target ? i : index;
            target_ = owner_.scheduler((index + 1) % owner_.schedulerCount());
            continue;
        }
        obey(answer.body, sent);
    }
}

void worker::obey(const std::string &body, std::int64_t sentMs)
{
    const auto orders = json::parse(body);
    const auto number = [&](const char *name, std::int64_t fallback) {
        return orders.has_field(name) ? orders.at(name).as_number().to_int64() : fallback;
    };
    const auto fence = number("fence", 0);
    nextBeat_ = now() + std::clamp<std::int64_t>(number("retry_ms", 1500), 5, 1500);
    if (fence < fence_)
        return;
    fence_ = fence;
    if (orders.has_field("heartbeat_addr"))
        target_ = orders.at("heartbeat_addr").as_string();
    if (orders.has_field("seen_upto")) {
        const auto upTo = number("seen_upto", 0);
        std::erase_if(ended_, [upTo](const ended &item) { return item.number <= upTo; });
    }
    if (orders.has_field("stop")) {
        for (const auto &row : orders.at("stop").as_array()) {
            const auto task = row.as_array().at(0).as_string();
            const auto run = row.as_array().at(1).as_integer();
            closed_[task] = std::max(closed_[task], run);
            const auto found = running_.find(task);
            if (found != running_.end() && found->second.run == run && found->second.stopAtMs < 0) {
                found->second.stopAtMs = now() + stopMs / 2;
                record("worker " + options_.id + " is told to stop " + task + " run "
                       + std::to_string(run));
            }
        }
    }
    const auto hold = std::min(number("hold_ms", 0), maxHoldMs);
    if (hold <= 0)
        return;
    leaseUntil_ = std::max(leaseUntil_, sentMs + hold);
    if (!orders.has_field("start"))
        return;
    for (const auto &row : orders.at("start").as_array()) {
        const auto task = row.as_array().at(0).as_string();
        const auto run = row.as_array().at(1).as_integer();
        if (running_.contains(task) && running_.at(task).run == run)
            continue;
        const auto *of = owner_.find(task.substr(0, task.find('.')));
        const auto line = task + " run " + std::to_string(run);
        if (of == nullptr) {
            record("worker " + options_.id + " is told to start unknown " + line);
            continue;
        }
        running item {task, run, of, 0, now(), 0, -1};
        const auto index = task.rfind('.');
        item.stepIndex = std::stoi(task.substr(task.rfind('.', index - 1) + 1));
        if (closed_[task] >= run) {
            end(item, "refused");
            continue;
        }
        record("worker " + options_.id + " starts " + line);
        owner_.addStart({now(), task, run, options_.id});
        {
            const std::scoped_lock gangs(owner_.gangs);
            owner_.present[task.substr(0, index) + "/" + std::to_string(run)].insert(
                    std::stoi(task.substr(index + 1)));
        }
        running_[task] = item;
    }
}

void worker::end(const running &item, const std::string &how)
{
    closed_[item.task] = std::max(closed_[item.task], item.run);
    ended_.push_back({++lastEnd_, item.task, item.run, how});
    record("worker " + options_.id + " ends " + item.task + " run " + std::to_string(item.run) + " "
           + how);
    nextBeat_ = std::min(nextBeat_, now() + 50);
}

bool worker::membersPresent(const running &item) const
{
    const std::scoped_lock gangs(owner_.gangs);
    const auto found = owner_.present.find(item.task.substr(0, item.task.rfind('.')) + "/"
                                           + std::to_string(item.run));
    return found != owner_.present.end()
            && static_cast<int>(found->second.size())
            >= item.of->steps[static_cast<std::size_t>(item.stepIndex)].count;
}

void worker::workLoop()
{
    auto last = now();
    while (!closing_) {
        sleepMs(10);
        const std::scoped_lock lock(mutex_);
        const auto at = now();
        const auto passed = at - std::exchange(last, at);
        if (!up_) {
            if (bootAt_ != 0 && at >= bootAt_)
                boot();
            continue;
        }
        const bool crashes = std::ranges::any_of(running_, [at](const auto &item) {
            const auto &spec
                    = item.second.of->steps[static_cast<std::size_t>(item.second.stepIndex)];
            return spec.crashesAfterMs > 0 && item.second.workedMs >= spec.crashesAfterMs;
        });
        if (crashes) {
            crashFor(crashedMs);
            continue;
        }
        std::vector<std::pair<running, std::string>> over;
        for (auto &[task, item] : running_) {
            const auto &spec = item.of->steps[static_cast<std::size_t>(item.stepIndex)];
            const bool works = !spec.gang || membersPresent(item);
            item.workedMs += works ? passed : 0;
            if (at > leaseUntil_)
                over.emplace_back(item, "lapsed");
            else if (item.stopAtMs >= 0 && at >= item.stopAtMs)
                over.emplace_back(item, "stopped");
            else if (!works && item.workedMs > 0)
                over.emplace_back(item, "broken");
            else if (!works && at > item.startedMs + gangMs)
                over.emplace_back(item, "alone");
            else if (spec.failingRuns.contains(item.run) && item.workedMs >= spec.workMs / 2)
                over.emplace_back(item, "failed");
            else if (!spec.longRunning && item.workedMs >= spec.workMs)
                over.emplace_back(item, "done");
        }
        for (const auto &[item, how] : over) {
            running_.erase(item.task);
            if (how != "done") {
                const std::scoped_lock gangs(owner_.gangs);
                owner_.present[item.task.substr(0, item.task.rfind('.')) + "/"
                               + std::to_string(item.run)]
                        .erase(std::stoi(item.task.substr(item.task.rfind('.') + 1)));
            }
            end(item, how);
        }
    }
}

// ---- the system

stage::stage(const stage_options &options)
    : options_(options)
{
    char name[] = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(name);
    block_ = 20 + static_cast<int>(randomNumber() % 200);
    controlPort_ = freePort();
    frontPort_ = freePort();
    readyPort_ = freePort();
    rpcPort_ = freePort();
    gatewayRpcPort_ = options_.proxied ? freePort() : rpcPort_;
    metricsPort_ = freePort();
}

stage::~stage()
{
    workers.clear();
    for (auto *list : {&schedulers_, &gateways_}) {
        for (const auto pid : *list) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(folder_);
    else
        std::cerr << "logs: " << folder_ << "\n";
}

std::string stage::schedulerIp(int index) const
{
    return "127." + std::to_string(block_) + ".1." + std::to_string(11 + index);
}

std::string stage::scheduler(int index) const
{
    return schedulerIp(index) + ":" + std::to_string(controlPort_);
}

std::string stage::gateway(int index) const
{
    return "127." + std::to_string(block_) + ".2." + std::to_string(11 + index) + ":"
            + std::to_string(frontPort_);
}

json stage::settingsFor(bool isScheduler, int index, bool bootstrap) const
{
    const auto ip
            = isScheduler ? schedulerIp(index) : gateway(index).substr(0, gateway(index).find(':'));
    auto fields = json::object();
    fields["node"] = json::string((isScheduler ? "core-bog-a-" : "edge-bog-a-")
                                  + std::to_string(index + 1));
    fields["ip"] = json::string(ip);
    fields["zone"] = json::string("bog-a");
    auto listen = json::object();
    if (isScheduler) {
        listen["control"] = json::string(ip + ":" + std::to_string(controlPort_));
        const auto data = folder_ + "/data-" + std::to_string(index);
        std::filesystem::create_directories(data);
        fields["data_dir"] = json::string(data);
    } else {
        listen["front"] = json::string(ip + ":" + std::to_string(frontPort_));
        listen["ready"] = json::string(ip + ":" + std::to_string(readyPort_));
    }
    fields["listen"] = listen;
    fields["port_range"]
            = json::array({json::number(isScheduler || index > 0 ? rpcPort_ : gatewayRpcPort_),
                           json::number(metricsPort_)});
    std::vector<json> seeds;
    for (int i = 0; i < std::min(3, options_.schedulers); ++i)
        seeds.push_back(json::string(scheduler(i)));
    fields["seeds"] = json::array(seeds);
    fields["bootstrap"] = json::boolean(bootstrap);
    fields["heartbeat_ms"] = json::number(1500);
    if (!options_.cloud.empty()) {
        auto cloud = json::object();
        cloud["addr"] = json::string(options_.cloud);
        fields["cloud"] = cloud;
    }
    auto tolerance = json::object();
    tolerance["machines"] = json::number(1);
    fields["fault_tolerance"] = tolerance;
    fields["bounds"] = json::parse(R"({"grace_s": 6, "max_hold_ms": 6000, "checkpoint_s": 1,
            "maintenance_s": 2, "lease_ms": 3000, "status_s": 120})");
    return fields;
}

pid_t stage::launch(const std::string &role, const json &settings, const std::string &name)
{
    const auto file = folder_ + "/" + name + ".ini";
    std::ofstream(file) << render(readFile(roleValue(role, "template")), settings);
    std::istringstream words(roleValue(role, "run"));
    std::vector<std::string> command;
    for (std::string word; words >> word;) {
        static const std::string usual = "/etc/persimmonproxy/settings.json";
        if (const auto at = word.find(usual); at != std::string::npos)
            word.replace(at, usual.size(), file);
        command.push_back(word);
    }
    const auto log = folder_ + "/" + name + ".log";
    const auto parent = ::getpid();
    const auto pid = ::fork();
    if (pid != 0)
        return pid;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(3);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    std::vector<char *> arguments;
    for (auto &word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(3);
}

void stage::start()
{
    for (int i = 0; i < options_.schedulers; ++i)
        schedulers_.push_back(
                launch("scheduler", settingsFor(true, i, true), "scheduler-" + std::to_string(i)));
    for (int i = 0; i < options_.gateways; ++i)
        gateways_.push_back(
                launch("gateway", settingsFor(false, i, false), "gateway-" + std::to_string(i)));
    record("started " + std::to_string(options_.schedulers) + " schedulers and "
           + std::to_string(options_.gateways) + " gateways");
}

void stage::signalScheduler(int index, int signal)
{
    ::kill(schedulers_[static_cast<std::size_t>(index)], signal);
    if (signal == SIGKILL)
        ::waitpid(schedulers_[static_cast<std::size_t>(index)], nullptr, 0);
    record("scheduler " + std::to_string(index + 1) + " gets signal " + std::to_string(signal));
}

void stage::restartScheduler(int index)
{
    schedulers_[static_cast<std::size_t>(index)] = launch(
            "scheduler", settingsFor(true, index, false), "scheduler-" + std::to_string(index));
    record("scheduler " + std::to_string(index + 1) + " starts again");
}

int stage::leader()
{
    for (int i = 0; i < options_.schedulers; ++i) {
        const auto page = call(schedulerIp(i) + ":" + std::to_string(metricsPort_), "GET",
                               "/metrics", {}, "", 300);
        std::istringstream lines(page.body);
        for (std::string line; std::getline(lines, line);) {
            if (line.find("leading") != std::string::npos && line[0] != '#' && line.back() == '1')
                return i;
        }
    }
    return -1;
}

int stage::configure(const json &value)
{
    const auto version = value.at("version").serialize();
    const auto until = now() + 10000;
    int status = 0;
    for (int i = 0; now() < until; ++i) {
        status = call(scheduler(i % options_.schedulers), "PUT", "/config", {}, value.serialize(),
                      1000)
                         .status;
        if (status == 200 || (status >= 400 && status < 500))
            break;
        sleepMs(200);
    }
    record("config " + version + " answered " + std::to_string(status));
    return status;
}

worker &stage::addWorker(worker_options options)
{
    workers.push_back(std::make_unique<worker>(*this, std::move(options)));
    return *workers.back();
}

std::vector<int> stage::submit(const job &item, int firstGateway)
{
    {
        const std::scoped_lock lock(mutex_);
        jobs_[item.id] = item;
    }
    auto body = json::object();
    body["spec"] = json::string(item.spec);
    std::vector<json> steps;
    for (const auto &spec : item.steps) {
        auto object = json::object();
        object["count"] = json::number(spec.count);
        object["cpu"] = json::number(spec.cpu);
        object["mem_mb"] = json::number(spec.memory);
        object["gpu"] = json::number(spec.gpu);
        object["estimate_ms"] = json::number(spec.workMs);
        if (spec.gang)
            object["gang"] = json::boolean(true);
        if (spec.longRunning)
            object["long_running"] = json::boolean(true);
        if (!spec.label.empty())
            object["required_label"] = json::string(spec.label);
        if (spec.maxPerServer > 0)
            object["max_per_server"] = json::number(spec.maxPerServer);
        steps.push_back(object);
    }
    body["steps"] = json::array(steps);
    std::vector<int> answers;
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto turn
                = firstGateway < 0 ? nextGateway_++ : static_cast<unsigned>(firstGateway + attempt);
        const auto to = gateway(static_cast<int>(turn % static_cast<unsigned>(options_.gateways)));
        record("POST " + item.prefix + item.id);
        const auto status = call(to, "POST", item.prefix + item.id,
                                 {{"Host", item.host},
                                  {"Authorization", "Bearer " + item.key},
                                  {"Persimmonproxy-Deadline-Ms", "3000"}},
                                 body.serialize(), 3000)
                                    .status;
        answers.push_back(status);
        record("POST " + item.prefix + item.id + " answered " + std::to_string(status));
        if ((status >= 200 && status < 500 && status != 429))
            break;
        sleepMs(300);
    }
    return answers;
}

reply stage::ask(const job &item)
{
    const auto to
            = gateway(static_cast<int>(nextGateway_++ % static_cast<unsigned>(options_.gateways)));
    return call(to, "GET", item.prefix + item.id,
                {{"Host", item.host},
                 {"Authorization", "Bearer " + item.key},
                 {"Persimmonproxy-Deadline-Ms", "3000"}},
                "", 3000);
}

std::string stage::stateOf(const job &item)
{
    const auto answer = ask(item);
    const auto state = answer.status == 200 ? json::parse(answer.body).at("state").as_string()
                                            : std::to_string(answer.status);
    record("GET " + item.prefix + item.id + " answered " + state);
    return state;
}

reply stage::cancel(const job &item)
{
    const auto answer = call(gateway(0), "DELETE", item.prefix + item.id,
                             {{"Host", item.host},
                              {"Authorization", "Bearer " + item.key},
                              {"Persimmonproxy-Deadline-Ms", "3000"}},
                             "", 3000);
    record("DELETE " + item.prefix + item.id + " answered " + std::to_string(answer.status));
    return answer;
}

const job *stage::find(const std::string &id) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

void stage::addStart(const start_seen &item)
{
    const std::scoped_lock lock(mutex_);
    starts_.push_back(item);
}

std::vector<start_seen> stage::startsOf(const std::string &id) const
{
    const std::scoped_lock lock(mutex_);
    std::vector<start_seen> found;
    std::ranges::copy_if(starts_, std::back_inserter(found),
                         [&](const start_seen &item) { return item.task.rfind(id, 0) == 0; });
    return found;
}

std::int64_t stage::runningItems(const std::string &id) const
{
    return std::ranges::count_if(workers, [&](const auto &item) { return item->runs(id); });
}

std::int64_t stage::usedGpu() const
{
    std::int64_t used = 0;
    for (const auto &item : workers)
        used += item->up() ? item->usedGpu() : 0;
    return used;
}

std::int64_t stage::capacityGpu() const
{
    std::int64_t capacity = 0;
    for (const auto &item : workers)
        capacity += item->up() ? item->options().gpu : 0;
    return capacity;
}

bool waitsForNothing(stage &system, const job &item)
{
    const auto isOpen = [&] {
        const auto state = system.stateOf(item);
        return state == "queued" || state == "running";
    };
    if (!isOpen())
        return false;
    const auto &need = item.steps.front();
    const auto hasRoom = [&](const auto &at) {
        return at->up() && (need.label.empty() || at->options().kind == need.label)
                && at->options().gpu - at->usedGpu() >= 2 * need.gpu;
    };
    const auto until = now() + 3000;
    while (now() < until) {
        if (system.runningItems(item.id) > 0 || system.usedGpu() * 2 >= system.capacityGpu()
            || std::ranges::none_of(system.workers, hasRoom))
            return false;
        sleepMs(50);
    }
    if (!isOpen())
        return false;
    record("job " + item.id
           + " had nothing running for 3 s; in use: " + std::to_string(system.usedGpu()) + " of "
           + std::to_string(system.capacityGpu()) + " gpu");
    return true;
}

json route(const std::string &name, const std::string &host, const std::string &prefix,
           const std::string &service, int priority, int attempts)
{
    auto object = json::parse(R"({"kind": "mutating", "timeout_ms": 3000, "slo_ms": 2000,
            "slack_factor": 3.0, "public": false})");
    object["name"] = json::string(name);
    object["host"] = json::string(host);
    object["prefix"] = json::string(prefix);
    object["service"] = json::string(service);
    object["priority"] = json::number(priority);
    object["attempts"] = json::number(attempts);
    return object;
}

json tenant(const std::string &name, const std::vector<std::string> &keys, int reservedGpu)
{
    auto object = json::object();
    object["name"] = json::string(name);
    std::vector<json> texts;
    for (const auto &key : keys)
        texts.push_back(json::string(key));
    object["api_keys"] = json::array(texts);
    object["priority"] = json::number(1);
    auto reserved = json::object();
    reserved["gpu"] = json::number(reservedGpu);
    object["reserved"] = reserved;
    return object;
}

json config(int version, std::vector<json> routes, const std::vector<std::string> &services,
            std::vector<json> tenants)
{
    auto object = json::object();
    object["version"] = json::number(version);
    object["routes"] = json::array(std::move(routes));
    std::vector<json> list;
    for (const auto &name : services) {
        auto item = json::parse(R"({"health_path": "/health", "max_conns": 64, "protocol": "h1",
                "tls": false, "admission_control": false, "standby": false})");
        item["name"] = json::string(name);
        list.push_back(item);
    }
    object["services"] = json::array(list);
    object["limits"] = json::parse(R"({"max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000})");
    object["tenants"] = json::array(std::move(tenants));
    return object;
}

int runCase(int argc, char **argv, const std::function<std::optional<bool>(bool)> &play)
{
    ::signal(SIGPIPE, SIG_IGN);
    ::alarm(115);
    const std::string folder = argc > 1 ? argv[1] : ".";
    recordFile.open(folder + "/record.txt", std::ios::trunc);
    const auto *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    try {
        const auto held = play(trouble);
        const auto *text = !held ? "the case could not run"
                                 : (*held ? "the rule held" : "the rule was broken");
        record(text);
        std::cout << text << "\n";
        return !held ? 2 : (*held ? 0 : 1);
    } catch (const std::exception &failure) {
        record(std::string("the case could not run: ") + failure.what());
        std::cerr << "the case could not run: " << failure.what() << "\n";
        return 2;
    }
}

} // namespace review
