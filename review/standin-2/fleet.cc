#include "fleet.h"

#include <cpprest/json.h>

#include <algorithm>

namespace standin {

namespace {

using web::json::value;

constexpr std::int64_t answerLimitMs = 1000;
constexpr std::int64_t heartbeatMs = 1500;

std::int64_t workOf(const std::string &spec)
{
    const auto at = spec.find("work=");
    return at == std::string::npos ? -1 : std::atoll(spec.c_str() + at + 5);
}

} // namespace

std::size_t run_book::start(const std::string &task, std::int64_t run, const std::string &worker)
{
    const std::lock_guard guard(mutex_);
    runs_.push_back({task, run, worker, nowMs(), -1, ""});
    log_.line("worker " + worker + " starts " + task + " run " + std::to_string(run));
    return runs_.size() - 1;
}

void run_book::end(std::size_t number, const std::string &how)
{
    const std::lock_guard guard(mutex_);
    auto &item = runs_[number];
    item.endedMs = nowMs();
    item.how = how;
    log_.line("worker " + item.worker + " ends " + item.task + " run " + std::to_string(item.run)
              + " " + how);
}

std::vector<run_record> run_book::all() const
{
    const std::lock_guard guard(mutex_);
    return runs_;
}

std::vector<run_record> run_book::ofJob(const std::string &job) const
{
    auto found = all();
    std::erase_if(found, [&](const run_record &item) { return !item.task.starts_with(job + "."); });
    return found;
}

worker::worker(record &log, run_book &book, worker_options options, std::vector<std::string> nodes)
    : log_(log)
    , book_(book)
    , options_(std::move(options))
    , nodes_(std::move(nodes))
{
}

worker::~worker()
{
    quit_ = true;
    if (thread_.joinable())
        thread_.join();
    while (late_ > 0)
        sleepMs(5);
}

void worker::setLink(delay_function delay)
{
    delay_ = std::move(delay);
}

void worker::start()
{
    quit_ = false;
    if (thread_.joinable())
        thread_.join();
    draining_ = false;
    drainAcked_ = false;
    born_ = std::max(wallMs(), born_ + 1);
    ++lives_;
    bornSteady_ = nowMs();
    seq_ = fence_ = leaseUntilMs_ = endedCount_ = 0;
    retryAtMs_ = 0;
    soonAtMs_ = -1;
    running_.clear();
    ended_.clear();
    closed_.clear();
    std::ranges::shuffle(nodes_, random_);
    node_ = nodes_.front();
    up_ = true;
    log_.line("worker " + id() + " is up, born " + std::to_string(born_));
    thread_ = std::thread([this] { live(); });
}

void worker::crash()
{
    quit_ = true;
    if (thread_.joinable())
        thread_.join();
    up_ = false;
    endAll("crashed");
    log_.line("worker " + id() + " has crashed");
}

void worker::leave(std::int64_t drainMs)
{
    log_.line("worker " + id() + " drains");
    leavesAtMs_ = nowMs() + drainMs;
    draining_ = true;
    const auto limit = nowMs() + 4 * drainMs;
    while (!drainAcked_ && nowMs() < limit)
        sleepMs(20);
    sleepMs(drainMs);
    quit_ = true;
    if (thread_.joinable())
        thread_.join();
    up_ = false;
    endAll("left");
    // The call goes to the next node until one has answered.
    auto node = node_;
    for (int i = 0; i < 4; ++i) {
        const auto done = send(node, "DELETE", "/instances/" + id(),
                               "{\"born\":" + std::to_string(born_) + "}");
        log_.line("worker " + id() + " leaves, by " + node + ": "
                  + (done ? std::to_string(done->status) : std::string("no answer")));
        if (done && done->status / 100 == 2)
            break;
        node = nextNode(node);
    }
    log_.line("worker " + id() + " has exited");
}

std::string worker::nextNode(const std::string &failed)
{
    const auto at = std::ranges::find(nodes_, failed);
    if (at == nodes_.end() || at + 1 == nodes_.end())
        return nodes_.front() == failed ? nodes_.back() : nodes_.front();
    return *(at + 1);
}

// Sends a call over the link. Bytes that the link holds up arrive late; the worker doesn't wait for
// the answer.
std::optional<answer> worker::send(const std::string &node, const std::string &method,
                                   const std::string &path, const std::string &body)
{
    const auto delay = delay_(node);
    if (delay <= 0)
        return call(node, method, path, {}, body, answerLimitMs);
    log_.line("link holds up " + method + " of " + id() + " to " + node + " for "
              + std::to_string(delay) + " ms");
    ++late_;
    std::thread([this, node, method, path, body, delay] {
        sleepMs(delay);
        const auto late = call(node, method, path, {}, body, answerLimitMs);
        if (method == "DELETE")
            log_.line("link delivers DELETE of " + id() + " to " + node + ": "
                      + (late ? std::to_string(late->status) : std::string("no answer")));
        --late_;
    }).detach();
    sleepMs(answerLimitMs);
    return std::nullopt;
}

std::string worker::report()
{
    auto body = value::object();
    body["service"] = value::string(options_.service);
    // Each life has a port of its own.
    const auto colon = options_.address.rfind(':');
    body["addr"] = value::string(
            options_.address.substr(0, colon + 1)
            + std::to_string(std::stoi(options_.address.substr(colon + 1)) + 100 * lives_));
    body["zone"] = value::string(options_.zone);
    body["version"] = value::string("v1");
    body["slots"] = value::number(8);
    body["state"] = value::string(draining_ ? "draining" : "ready");
    body["warmup_left_ms"] = value::number(0);
    if (draining_)
        body["remaining_ms"] = value::number(std::max<std::int64_t>(0, leavesAtMs_ - nowMs()));
    body["born"] = value::number(born_);
    body["clock_ms"] = value::number(nowMs() - bornSteady_);
    body["seq"] = value::number(++seq_);
    body["machine"] = value::string(options_.machine.empty() ? "m-" + id() : options_.machine);
    auto capacity = value::object();
    capacity["cpu"] = value::number(options_.cpu);
    capacity["mem_mb"] = value::number(options_.memory);
    capacity["gpu"] = value::number(options_.gpu);
    body["capacity"] = capacity;
    std::vector<value> labels;
    for (const auto &label : options_.labels)
        labels.push_back(value::string(label));
    body["labels"] = value::array(labels);
    std::vector<value> running;
    for (const auto &[task, item] : running_) {
        if (item.stopAtMs >= 0)
            continue; // runs that are being stopped aren't listed
        const auto worked = nowMs() - item.startedMs;
        const auto percent = item.workMs < 0
                ? (worked >= options_.startupMs ? 100 : 0)
                : std::min<std::int64_t>(99, worked * 100 / std::max<std::int64_t>(1, item.workMs));
        running.push_back(
                value::array({value::string(task), value::number(item.run), value::string(""),
                              value::number(percent), value::number(100)}));
    }
    body["running"] = value::array(running);
    std::vector<value> ended;
    for (const auto &item : ended_) {
        if (ended.size() < 500)
            ended.push_back(value::array({value::number(item.number), value::string(item.task),
                                          value::number(item.run), value::string(item.how),
                                          value::string("")}));
    }
    body["ended"] = value::array(ended);
    return body.serialize();
}

void worker::end(const std::string &task, const std::string &how)
{
    const auto found = running_.find(task);
    ended_.push_back({++endedCount_, task, found->second.run, how});
    auto &closed = closed_[task];
    closed = std::max(closed, found->second.run);
    book_.end(found->second.number, how);
    running_.erase(found);
    soonAtMs_ = nowMs() + 50;
}

void worker::endAll(const std::string &how)
{
    for (const auto &[task, item] : running_)
        book_.end(item.number, how);
    running_.clear();
}

void worker::advance()
{
    const auto now = nowMs();
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto &[task, item] : running_) {
        if (item.stopAtMs >= 0 && now >= item.stopAtMs)
            ends.emplace_back(task, "stopped");
        else if (now >= leaseUntilMs_)
            ends.emplace_back(task, "lapsed");
        else if (item.workMs >= 0 && item.stopAtMs < 0 && now >= item.startedMs + item.workMs)
            ends.emplace_back(task, "done");
    }
    for (const auto &[task, how] : ends)
        end(task, how);
}

void worker::follow(const std::string &body, std::int64_t sentMs)
{
    const auto orders = value::parse(body);
    const auto has = [&orders](const char *name) { return orders.has_field(name); };
    const auto fence = has("fence") ? orders.at("fence").as_number().to_int64() : 0;
    const auto now = nowMs();
    if (has("heartbeat_addr"))
        node_ = orders.at("heartbeat_addr").as_string();
    if (has("retry_ms"))
        retryAtMs_ = now + orders.at("retry_ms").as_number().to_int64();
    if (fence < fence_)
        return;
    fence_ = fence;
    if (has("hold_ms"))
        leaseUntilMs_ = std::max(
                leaseUntilMs_,
                sentMs + std::min(options_.maxHoldMs, orders.at("hold_ms").as_number().to_int64()));
    if (has("seen_upto")) {
        const auto upTo = orders.at("seen_upto").as_number().to_int64();
        std::erase_if(ended_, [upTo](const ended_item &item) { return item.number <= upTo; });
    }
    if (has("stop")) {
        for (const auto &row : orders.at("stop").as_array()) {
            const auto task = row.at(0).as_string();
            const auto run = row.at(1).as_number().to_int64();
            auto &closed = closed_[task];
            closed = std::max(closed, run);
            const auto found = running_.find(task);
            if (found != running_.end() && found->second.run <= run && found->second.stopAtMs < 0)
                found->second.stopAtMs = now + options_.stopMs;
        }
    }
    if (!has("start") || !has("hold_ms"))
        return;
    for (const auto &row : orders.at("start").as_array()) {
        const auto task = row.at(0).as_string();
        const auto run = row.at(1).as_number().to_int64();
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.run == run)
            continue;
        const auto closed = closed_.find(task);
        if (found != running_.end() || (closed != closed_.end() && closed->second >= run)) {
            ended_.push_back({++endedCount_, task, run, "refused"});
            soonAtMs_ = now + 50;
            continue;
        }
        running_item item;
        item.task = task;
        item.run = run;
        item.startedMs = now;
        item.workMs = workOf(row.at(2).as_string());
        item.number = book_.start(task, run, id());
        running_[task] = item;
    }
}

void worker::live()
{
    while (!quit_) {
        advance();
        const auto now = nowMs();
        if (now < retryAtMs_ && (soonAtMs_ < 0 || now < soonAtMs_)) {
            sleepMs(5);
            continue;
        }
        soonAtMs_ = -1;
        const bool draining = draining_;
        const auto node = node_;
        const auto body = report();
        const auto sent = nowMs();
        // Work goes on, and leases run out, while an answer is outstanding.
        std::optional<answer> got;
        std::atomic<bool> finished = false;
        std::thread caller([&] {
            got = send(node, "PUT", "/instances/" + id(), body);
            finished = true;
        });
        while (!finished) {
            advance();
            sleepMs(5);
        }
        caller.join();
        if (quit_)
            return;
        if (!got || got->status / 100 != 2) {
            node_ = nextNode(node);
            retryAtMs_ = got ? nowMs() + 100 : 0;
            continue;
        }
        if (nowMs() - sent > answerLimitMs)
            continue;
        retryAtMs_ = nowMs() + heartbeatMs;
        follow(got->body, sent);
        if (draining)
            drainAcked_ = true;
    }
}

} // namespace standin
