#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

namespace world {

const char *const host = "jobs.example";
const char *const key = "k3y0f0ne";

int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<int64_t>(0, ms)));
}

// ---- JSON ----

const json *json::find(const string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? nullptr : &found->second;
}

int64_t json::integer(const string &name, int64_t fallback) const
{
    const auto *found = find(name);
    return found == nullptr ? fallback : static_cast<int64_t>(found->number);
}

string json::word(const string &name) const
{
    const auto *found = find(name);
    return found == nullptr ? string {} : found->text;
}

namespace {

struct json_reader
{
    const string &text;
    std::size_t at = 0;
    bool ok = true;

    void skip()
    {
        while (at < text.size() && std::isspace(static_cast<unsigned char>(text[at])))
            ++at;
    }

    bool take(char c)
    {
        skip();
        if (at >= text.size() || text[at] != c)
            return false;
        ++at;
        return true;
    }

    string readText()
    {
        string read;
        if (!take('"')) {
            ok = false;
            return read;
        }
        while (at < text.size() && text[at] != '"') {
            if (text[at] == '\\' && at + 1 < text.size()) {
                ++at;
                read += text[at] == 'n' ? '\n' : text[at];
                ++at;
                continue;
            }
            read += text[at++];
        }
        if (at >= text.size())
            ok = false;
        ++at;
        return read;
    }

    json readValue()
    {
        json value;
        skip();
        if (!ok || at >= text.size()) {
            ok = false;
            return value;
        }
        const char c = text[at];
        if (c == '{') {
            value.type = json::kind::object;
            ++at;
            if (take('}'))
                return value;
            do {
                skip();
                const auto name = readText();
                if (!take(':'))
                    ok = false;
                value.fields[name] = readValue();
            } while (ok && take(','));
            ok = take('}') && ok;
        } else if (c == '[') {
            value.type = json::kind::list;
            ++at;
            if (take(']'))
                return value;
            do
                value.items.push_back(readValue());
            while (ok && take(','));
            ok = take(']') && ok;
        } else if (c == '"') {
            value.type = json::kind::text;
            value.text = readText();
        } else if (text.compare(at, 4, "true") == 0 || text.compare(at, 5, "false") == 0) {
            value.type = json::kind::boolean;
            value.truth = c == 't';
            at += value.truth ? 4 : 5;
        } else if (text.compare(at, 4, "null") == 0) {
            at += 4;
        } else {
            char *end = nullptr;
            value.type = json::kind::number;
            value.number = std::strtod(text.c_str() + at, &end);
            const auto next = static_cast<std::size_t>(end - text.c_str());
            ok = ok && next > at;
            at = next;
        }
        return value;
    }
};

} // namespace

std::optional<json> parseJson(const string &text)
{
    json_reader reader {text};
    auto value = reader.readValue();
    if (!reader.ok)
        return std::nullopt;
    return value;
}

string quote(const string &text)
{
    string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out + "\"";
}

// ---- HTTP ----

namespace {

sockaddr_in addressOf(const string &text)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    const auto colon = text.rfind(':');
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return address;
}

bool waitFor(int socket, short events, int64_t untilMs)
{
    const auto left = untilMs - steadyMs();
    if (left <= 0)
        return false;
    pollfd item {socket, events, 0};
    return ::poll(&item, 1, static_cast<int>(left)) > 0;
}

bool sendAll(int socket, const string &bytes, int64_t untilMs)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto count
                = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            done += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        if (!waitFor(socket, POLLOUT, untilMs))
            return false;
    }
    return true;
}

// Reads one message. Returns false if the connection ends before it is complete.
bool readMessage(int socket, string &head, string &body, int64_t untilMs,
                 const std::atomic<bool> *stopping)
{
    string bytes;
    std::size_t headEnd = string::npos;
    std::size_t length = 0;
    char buffer[16384];
    while (true) {
        if (headEnd == string::npos) {
            headEnd = bytes.find("\r\n\r\n");
            if (headEnd != string::npos) {
                head = bytes.substr(0, headEnd + 2);
                auto lower = head;
                std::ranges::transform(lower, lower.begin(),
                                       [](unsigned char c) { return std::tolower(c); });
                const auto field = lower.find("\r\ncontent-length:");
                if (field != string::npos)
                    length = std::stoul(lower.substr(field + 17));
            }
        }
        if (headEnd != string::npos && bytes.size() >= headEnd + 4 + length) {
            body = bytes.substr(headEnd + 4, length);
            return true;
        }
        const auto slice = std::min(untilMs, steadyMs() + 200);
        if (!waitFor(socket, POLLIN, slice)) {
            if (steadyMs() >= untilMs || (stopping != nullptr && *stopping))
                return false;
            continue;
        }
        const auto count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        bytes.append(buffer, static_cast<std::size_t>(count));
    }
}

} // namespace

reply call(const string &address, const string &method, const string &path,
           const std::vector<std::pair<string, string>> &headers, const string &body,
           int64_t timeoutMs)
{
    reply answer;
    const auto until = steadyMs() + timeoutMs;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0)
        return answer;
    const auto to = addressOf(address);
    const auto finish = [&] {
        ::close(socket);
        return answer;
    };
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        int failure = 0;
        socklen_t size = sizeof failure;
        if (errno != EINPROGRESS || !waitFor(socket, POLLOUT, until)
            || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0)
            return finish();
    }
    string text = method + " " + path + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto &[name, value] : headers) {
        hasHost = hasHost || name == "Host";
        text += name + ": " + value + "\r\n";
    }
    if (!hasHost)
        text += "Host: " + address + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    string head;
    string received;
    if (!sendAll(socket, text, until) || !readMessage(socket, head, received, until, nullptr))
        return finish();
    answer.status = std::atoi(head.c_str() + head.find(' ') + 1);
    answer.body = received;
    return finish();
}

server::server(const string &address, handler handle)
    : handle_(std::move(handle))
{
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = addressOf(address);
    if (::bind(socket_, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
        || ::listen(socket_, 256) != 0) {
        std::cerr << "can't listen at " << address << "\n";
        std::exit(2);
    }
    thread_ = std::thread([this] { accept(); });
}

server::~server()
{
    stopping_ = true;
    thread_.join();
    ::close(socket_);
    for (auto &client : clients_)
        client.join();
}

void server::accept()
{
    while (!stopping_) {
        if (!waitFor(socket_, POLLIN, steadyMs() + 200))
            continue;
        const int client = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            continue;
        const std::lock_guard guard(mutex_);
        clients_.emplace_back([this, client] { serve(client); });
    }
}

void server::serve(int client)
{
    string head;
    string body;
    while (!stopping_
           && readMessage(client, head, body, steadyMs() + 60000, &stopping_)) {
        request taken;
        const auto space = head.find(' ');
        taken.method = head.substr(0, space);
        taken.path = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
        std::size_t at = head.find("\r\n") + 2;
        while (at < head.size()) {
            const auto end = head.find("\r\n", at);
            const auto colon = head.find(':', at);
            if (colon == string::npos || end == string::npos)
                break;
            auto name = head.substr(at, colon - at);
            std::ranges::transform(name, name.begin(),
                                   [](unsigned char c) { return std::tolower(c); });
            const auto first = head.find_first_not_of(' ', colon + 1);
            taken.headers[name] = head.substr(first, end - first);
            at = end + 2;
        }
        taken.body = body;
        const auto answer = handle_(taken);
        if (answer.status == 0)
            break;
        const auto text = "HTTP/1.1 " + std::to_string(answer.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
        if (!sendAll(client, text, steadyMs() + 2000))
            break;
    }
    ::close(client);
}

// ---- record ----

namespace {

std::mutex recordMutex;
std::ofstream recordFile;
int64_t recordStart = 0;

} // namespace

void record::open(const string &file)
{
    recordFile.open(file, std::ios::trunc);
    recordStart = steadyMs();
}

void record::line(const string &text)
{
    const std::lock_guard guard(recordMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ",
                  static_cast<double>(steadyMs() - recordStart) / 1000);
    recordFile << time << text << std::endl;
    std::cout << time << text << std::endl;
}

// ---- the project's processes ----

namespace {

bool isFree(const std::vector<string> &ips, int port)
{
    bool free = true;
    for (const auto &ip : ips) {
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto at = addressOf(ip + ":" + std::to_string(port));
        const int on = 1;
        ::setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        free = free && ::bind(probe, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
        ::close(probe);
    }
    return free;
}

} // namespace

system_under_test::system_under_test(int cores, int edges)
{
    std::mt19937 random {std::random_device {}()};
    net_ = "127." + std::to_string(40 + random() % 80) + "." + std::to_string(1 + random() % 250);
    string name = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        std::cerr << "no temporary folder\n";
        std::exit(2);
    }
    folder_ = name;
    std::vector<string> ips;
    for (int i = 0; i < cores; ++i) {
        cores_.push_back({"core-" + std::to_string(i + 1), net_ + "." + std::to_string(11 + i), {}});
        ips.push_back(cores_.back().ip);
    }
    for (int i = 0; i < edges; ++i) {
        edges_.push_back({"edge-" + std::to_string(i + 1), net_ + "." + std::to_string(31 + i), {}});
        ips.push_back(edges_.back().ip);
    }
    ips.push_back(net_ + ".100");
    int port = 20000 + static_cast<int>(random() % 9000);
    const auto next = [&] {
        while (!isFree(ips, port))
            ++port;
        return port++;
    };
    controlPort_ = next();
    frontPort_ = next();
    readyPort_ = next();
    metricsPort_ = next();
    rpcPort_ = next();
    platform_ = net_ + ".100:" + std::to_string(next());
    advice_ = net_ + ".100:" + std::to_string(next());
    string seeds;
    for (int i = 0; i < std::min(3, cores); ++i)
        seeds += (i == 0 ? "" : ",") + control(i);
    for (int i = 0; i < cores; ++i) {
        auto &item = cores_[static_cast<std::size_t>(i)];
        std::filesystem::create_directories(folder_ + "/" + item.name);
        item.settings = folder_ + "/" + item.name + ".ini";
        std::ofstream(item.settings)
                << "[instance]\nid = " << item.name << "\nip = " << item.ip
                << "\nzone = zone-a\nzones = zone-a,zone-b\ngrace_s = 6\n[http]\nlisten = " << control(i)
                << "\nmetrics_listen = " << metrics(i)
                << "\n[limits]\ndescriptors = 4096\nmemory_mb = 256\n[group]\nrpc_port = " << rpcPort_
                << "\nseeds = " << seeds << "\ndata_folder = " << folder_ << "/" << item.name
                << "\nbootstrap = true\ntolerated_losses = 1\n[workers]\nheartbeat_ms = 1500\n"
                << "max_lease_ms = 6000\nadvice = " << advice_
                << "\ncheckpoint_s = 1\n[machines]\naddress = " << platform_
                << "\nupkeep_s = 2\norder_lease_ms = 3000\n[jobs]\nkeep_ended_s = 120\n";
    }
    for (int i = 0; i < edges; ++i) {
        auto &item = edges_[static_cast<std::size_t>(i)];
        item.settings = folder_ + "/" + item.name + ".ini";
        std::ofstream(item.settings)
                << "[instance]\nid = " << item.name << "\nip = " << item.ip
                << "\nzone = zone-a\ngrace_s = 6\n[http]\nlisten = " << front(i)
                << "\nready_listen = " << item.ip << ":" << readyPort_
                << "\nmetrics_listen = " << item.ip << ":" << metricsPort_
                << "\n[limits]\ndescriptors = 4100\nmemory_mb = 260\n[group]\nrpc_port = " << rpcPort_
                << "\nseeds = " << seeds << "\n";
    }
}

system_under_test::~system_under_test()
{
    stopping_ = true;
    if (watcher_.joinable())
        watcher_.join();
    for (auto *list : {&cores_, &edges_}) {
        for (auto &item : *list) {
            if (item.pid == 0)
                continue;
            ::kill(item.pid, SIGCONT);
            ::kill(item.pid, SIGKILL);
            ::waitpid(item.pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(folder_);
}

string system_under_test::control(int index) const
{
    return cores_[static_cast<std::size_t>(index)].ip + ":" + std::to_string(controlPort_);
}

string system_under_test::front(int index) const
{
    return edges_[static_cast<std::size_t>(index)].ip + ":" + std::to_string(frontPort_);
}

string system_under_test::metrics(int index) const
{
    return cores_[static_cast<std::size_t>(index)].ip + ":" + std::to_string(metricsPort_);
}

void system_under_test::launch(process &item, const char *role)
{
    const string roleArgument = string("--role=") + role;
    const string settingsArgument = "--settings=" + item.settings;
    const string log = folder_ + "/" + item.name + ".log";
    const int pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // nothing is left behind if the test is ended
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("target/bin/persimmond", "target/bin/persimmond", roleArgument.c_str(),
                settingsArgument.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    item.pid = pid;
    item.wanted = true;
}

void system_under_test::start()
{
    if (::access("target/bin/persimmond", X_OK) != 0) {
        std::cerr << "target/bin/persimmond isn't built\n";
        std::exit(2);
    }
    for (auto &item : cores_)
        launch(item, "scheduler");
    for (auto &item : edges_)
        launch(item, "gateway");
    watcher_ = std::thread([this] { watch(); });
}

// A process that ends by itself is started again, as on the users' machines.
void system_under_test::watch()
{
    while (!stopping_) {
        sleepMs(50);
        const std::lock_guard guard(mutex_);
        for (auto *list : {&cores_, &edges_}) {
            for (auto &item : *list) {
                int status = 0;
                if (item.pid == 0 || ::waitpid(item.pid, &status, WNOHANG) != item.pid)
                    continue;
                item.pid = 0;
                if (!item.wanted)
                    continue;
                ++exits_;
                record::line("process " + item.name + " ended by itself, status "
                             + std::to_string(status));
                launch(item, list == &cores_ ? "scheduler" : "gateway");
            }
        }
    }
}

void system_under_test::startCore(int index)
{
    const std::lock_guard guard(mutex_);
    auto &item = cores_[static_cast<std::size_t>(index)];
    if (item.pid != 0) {
        ::waitpid(item.pid, nullptr, 0);
        item.pid = 0;
    }
    launch(item, "scheduler");
    record::line("start " + item.name);
}

void system_under_test::startEdge(int index)
{
    const std::lock_guard guard(mutex_);
    auto &item = edges_[static_cast<std::size_t>(index)];
    if (item.pid != 0) {
        ::waitpid(item.pid, nullptr, 0);
        item.pid = 0;
    }
    launch(item, "gateway");
    record::line("start " + item.name);
}

void system_under_test::signalCore(int index, int number)
{
    const std::lock_guard guard(mutex_);
    auto &item = cores_[static_cast<std::size_t>(index)];
    if (item.pid == 0)
        return;
    if (number == SIGKILL || number == SIGTERM)
        item.wanted = false;
    ::kill(item.pid, number);
    record::line("signal " + std::to_string(number) + " to " + item.name);
}

void system_under_test::signalEdge(int index, int number)
{
    const std::lock_guard guard(mutex_);
    auto &item = edges_[static_cast<std::size_t>(index)];
    if (item.pid == 0)
        return;
    if (number == SIGKILL || number == SIGTERM)
        item.wanted = false;
    ::kill(item.pid, number);
    record::line("signal " + std::to_string(number) + " to " + item.name);
}

// The leader tells by its metrics that it leads.
int system_under_test::leader() const
{
    for (int i = 0; i < coreCount(); ++i) {
        const auto page = call(metrics(i), "GET", "/metrics", {}, {}, 300);
        std::size_t at = 0;
        while (at < page.body.size()) {
            const auto end = page.body.find('\n', at);
            const auto line = page.body.substr(at, end - at);
            if (!line.starts_with('#') && line.find("lead") != string::npos && line.ends_with(" 1"))
                return i;
            if (end == string::npos)
                break;
            at = end + 1;
        }
    }
    return -1;
}

int system_under_test::exits() const
{
    return exits_;
}

// ---- worker ----

worker::worker(const system_under_test &system, options values,
               std::function<void(const run_fact &)> tell)
    : system_(system)
    , values_(std::move(values))
    , tell_(std::move(tell))
    , born_(wallMs())
    , started_(steadyMs())
{
    const auto number = std::hash<string> {}(values_.id + std::to_string(born_)) % 20000;
    address_ = system_.workerIp() + ":" + std::to_string(30000 + number);
    thread_ = std::thread([this] { loop(); });
}

worker::~worker()
{
    stop();
    thread_.join();
}

void worker::stop()
{
    const std::lock_guard guard(mutex_);
    if (stopping_.exchange(true))
        return;
    for (const auto &[task, run] : running_)
        tell_({steadyMs(), values_.id, task, run.run, "crashed"});
    running_.clear();
}

std::vector<string> worker::running() const
{
    const std::lock_guard guard(mutex_);
    std::vector<string> tasks;
    for (const auto &[task, run] : running_)
        tasks.push_back(task);
    return tasks;
}

void worker::finish(std::map<string, item>::iterator at, const string &how)
{
    const auto run = at->second;
    running_.erase(at);
    closed_[run.task] = std::max(closed_[run.task], run.run);
    ended_.push_back({++lastEnd_, run.task, run.run, how, lapses_});
    tell_({steadyMs(), values_.id, run.task, run.run, how});
}

void worker::advance()
{
    const auto now = steadyMs();
    if (now >= leaseUntil_) {
        lapses_ += holds_ ? 1 : 0;
        holds_ = false;
        while (!running_.empty())
            finish(running_.begin(), "lapsed");
        return;
    }
    for (auto at = running_.begin(); at != running_.end();) {
        const auto current = at++;
        const auto &run = current->second;
        if (run.stopAtMs >= 0 && now >= run.stopAtMs)
            finish(current, "stopped");
        else if (run.stopAtMs < 0 && run.workMs > 0 && now - run.startedMs >= run.workMs)
            finish(current, "done");
    }
}

string worker::body()
{
    const auto now = steadyMs();
    string text = "{\"service\":" + quote(values_.service) + ",\"addr\":" + quote(address_)
            + ",\"zone\":" + quote(values_.zone)
            + ",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"warmup_left_ms\":0,"
              "\"machine\":"
            + quote(values_.machine) + ",\"born\":" + std::to_string(born_)
            + ",\"capacity\":{\"cpu\":" + std::to_string(values_.cpu)
            + ",\"mem_mb\":" + std::to_string(values_.memory)
            + ",\"gpu\":" + std::to_string(values_.gpu) + "},\"labels\":[";
    for (std::size_t i = 0; i < values_.labels.size(); ++i)
        text += (i == 0 ? "" : ",") + quote(values_.labels[i]);
    text += "],\"clock_ms\":" + std::to_string(now - started_)
            + ",\"seq\":" + std::to_string(++sequence_) + ",\"running\":[";
    bool first = true;
    for (const auto &[task, run] : running_) {
        if (run.stopAtMs >= 0)
            continue; // what is being stopped isn't listed
        const auto percent = run.workMs > 0
                ? std::min<int64_t>(99, (now - run.startedMs) * 100 / run.workMs)
                : 100;
        text += string(first ? "" : ",") + "[" + quote(task) + "," + std::to_string(run.run)
                + ",\"\"," + std::to_string(percent) + ",0]";
        first = false;
    }
    text += "],\"ended\":[";
    first = true;
    std::size_t listed = 0;
    for (const auto &item : ended_) {
        if (++listed > 500)
            break;
        text += string(first ? "" : ",") + "[" + std::to_string(item.number) + ","
                + quote(item.task) + "," + std::to_string(item.run) + "," + quote(item.how)
                + ",\"\"]";
        first = false;
    }
    return text + "]}";
}

void worker::obey(const json &orders, int64_t sentMs)
{
    const auto now = steadyMs();
    const auto fence = orders.integer("fence");
    if (fence < fence_)
        return;
    fence_ = fence;
    const auto seen = orders.integer("seen_upto");
    if (seen > 0) {
        for (const auto &item : ended_) {
            if (item.number <= seen)
                tell_({now, values_.id, item.task, item.run,
                       item.lapses == lapses_ ? "noted" : "noted-after-lapse"});
        }
        std::erase_if(ended_, [seen](const end &item) { return item.number <= seen; });
    }
    if (const auto *stops = orders.find("stop"); stops != nullptr) {
        for (const auto &row : stops->items) {
            const auto &task = row.items.at(0).text;
            const auto run = static_cast<int64_t>(row.items.at(1).number);
            const auto found = running_.find(task);
            if (found != running_.end() && found->second.run == run) {
                if (found->second.stopAtMs < 0)
                    found->second.stopAtMs = now + values_.stopMs / 2;
            } else if (found == running_.end()) {
                closed_[task] = std::max(closed_[task], run);
            }
        }
    }
    const auto hold = orders.integer("hold_ms");
    if (hold <= 0)
        return; // without it no lease is extended and nothing is started
    leaseUntil_ = std::max(leaseUntil_, sentMs + std::min(hold, values_.maxHoldMs));
    if (now >= leaseUntil_)
        return;
    holds_ = true;
    if (const auto *starts = orders.find("start"); starts != nullptr) {
        for (const auto &row : starts->items) {
            const auto &task = row.items.at(0).text;
            const auto run = static_cast<int64_t>(row.items.at(1).number);
            if (running_.contains(task) || run <= closed_[task])
                continue;
            item begun {task, run, row.items.at(2).text, now, 0};
            const auto at = begun.spec.find("work-ms=");
            if (at != string::npos)
                begun.workMs = std::atoll(begun.spec.c_str() + at + 8);
            running_[task] = begun;
            tell_({now, values_.id, task, run, "start"});
        }
    }
}

void worker::loop()
{
    std::mt19937 random {std::random_device {}()};
    string target;
    int64_t next = steadyMs() + static_cast<int64_t>(random() % 200);
    std::size_t endsSent = 0;
    while (!stopping_) {
        bool hasNewEnd = false;
        {
            const std::lock_guard guard(mutex_);
            if (stopping_)
                return;
            advance();
            hasNewEnd = lastEnd_ > static_cast<int64_t>(endsSent);
        }
        const auto now = steadyMs();
        if (now < next && !(hasNewEnd && next - now > 50)) {
            sleepMs(10);
            continue;
        }
        if (hasNewEnd && next - now > 50) {
            next = now + 50;
            endsSent = static_cast<std::size_t>(lastEnd_);
            continue;
        }
        if (target.empty())
            target = system_.control(
                    static_cast<int>(random() % static_cast<unsigned>(system_.coreCount())));
        string text;
        {
            const std::lock_guard guard(mutex_);
            text = body();
            endsSent = static_cast<std::size_t>(lastEnd_);
        }
        const auto sent = steadyMs();
        // Waits for the answer on a thread of its own, so that work goes on meanwhile.
        auto answer = std::make_shared<reply>();
        auto done = std::make_shared<std::atomic<bool>>(false);
        const auto how = link_.load();
        const auto path = "/instances/" + values_.id;
        // Delivered after the worker has given the call up, and also if it has ended meanwhile.
        if (how == link::late)
            std::thread([target, path, text, lateMs = values_.lateMs] {
                sleepMs(lateMs);
                record::line("a heartbeat arrives " + std::to_string(lateMs) + " ms late: " + path);
                call(target, "PUT", path, {}, text, 1000);
            }).detach();
        std::thread([answer, done, target, path, text, how] {
            if (how == link::sound)
                *answer = call(target, "PUT", path, {}, text, 1000);
            else if (how == link::answers_lost)
                call(target, "PUT", path, {}, text, 1000);
            else
                sleepMs(1000);
            *done = true;
        }).detach();
        while (!*done) {
            sleepMs(5);
            const std::lock_guard guard(mutex_);
            if (!stopping_)
                advance();
        }
        const auto orders = answer->status / 100 == 2 && steadyMs() - sent <= 1000
                ? parseJson(answer->body)
                : std::nullopt;
        next = steadyMs() + values_.heartbeatMs;
        if (!orders) {
            target.clear();
            next = steadyMs() + 50;
            continue;
        }
        const std::lock_guard guard(mutex_);
        if (stopping_)
            return;
        obey(*orders, sent);
        if (const auto moved = orders->word("heartbeat_addr"); !moved.empty())
            target = moved;
        if (const auto retry = orders->integer("retry_ms"); retry > 0)
            next = steadyMs() + retry;
    }
}

// ---- callers ----

reply order(const system_under_test &system, const string &method, const string &path,
            const string &body, int64_t limitMs)
{
    const auto until = steadyMs() + limitMs;
    reply answer;
    for (int i = 0; steadyMs() < until; ++i) {
        answer = call(system.control(i % system.coreCount()), method, path, {}, body, 2000);
        if (answer.status / 100 == 2 || answer.status == 400 || answer.status == 409
            || answer.status == 412 || answer.status == 413 || answer.status == 422)
            return answer;
        sleepMs(200);
    }
    return answer;
}

reply consumerCall(const system_under_test &system, const string &method, const string &path,
                   const string &body, int64_t limitMs)
{
    const auto until = steadyMs() + limitMs;
    reply answer;
    for (int i = 0; steadyMs() < until; ++i) {
        answer = call(system.front(i % system.edgeCount()), method, path,
                      {{"Host", host},
                       {"Authorization", string("Bearer ") + key},
                       {"Persimmonproxy-Deadline-Ms", "3000"}},
                      body, 3000);
        const auto status = answer.status;
        if (status != 0 && status != 429 && status != 502 && status != 503 && status != 504)
            return answer;
        sleepMs(300);
    }
    return answer;
}

string config(int64_t version, int64_t attempts)
{
    string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (int priority = 0; priority < 3; ++priority) {
        const auto number = std::to_string(priority);
        text += string(priority == 0 ? "" : ",") + "{\"name\":\"r-" + number + "\",\"host\":"
                + quote(host) + ",\"prefix\":\"/q" + number
                + "/\",\"kind\":\"mutating\",\"timeout_ms\":3000,\"slo_ms\":4000,\"priority\":"
                + number + ",\"service\":\"svc\",\"attempts\":" + std::to_string(attempts)
                + ",\"slack_factor\":3.0,\"public\":false}";
    }
    return text
            + "],\"services\":[{\"name\":\"svc\",\"health_path\":\"/health\",\"max_conns\":64,"
              "\"protocol\":\"h1\",\"tls\":false,\"admission_control\":false,\"standby\":false}],"
              "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
              "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
              "\"tenant-1\",\"api_keys\":["
            + quote(key) + "],\"priority\":1,\"reserved\":{\"gpu\":16}}]}";
}

} // namespace world
