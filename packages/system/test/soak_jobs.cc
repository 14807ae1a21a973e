#include "soak_jobs.h"

namespace persimmon::system_test {

namespace {

constexpr std::int64_t pollPeriodMs = 300; // of the state of a job
constexpr std::int64_t openPollPeriodMs = 1500; // of a job that the workers still run
constexpr std::int64_t resendMs = 200; // after a call without a clear answer
constexpr std::int64_t workerCpu = 4000; // of a stand-in worker

} // namespace

bool soaked_jobs::configure()
{
    std::ostringstream body;
    body << R"({"version":3,"services":[{"name":"pool"}],"routes":[)";
    for (int priority = 0; priority <= 2; ++priority)
        body << (priority == 0 ? "" : ",") << R"({"name":"q)" << priority
             << R"(","host":"h","prefix":"/q)" << priority
             << R"(/","service":"pool","timeout_ms":3000,"attempts":)" << stall_check::attempts
             << R"(,"slack_factor":2,"slo_ms":1000,"priority":)" << priority << "}";
    body << R"(],"tenants":[{"name":"t","api_keys":["key"],"reserved":{"gpu":4}},)"
         << R"({"name":"u","api_keys":["other"]}]})";
    return system_.configureAs(0, body.str());
}

platform::standin_job soaked_jobs::shapeOf(std::int64_t kind)
{
    platform::standin_job job {1000 * random_.draw(1, 3), 100 * random_.draw(3, 15),
                               random_.draw(1, 3)};
    const auto workers = static_cast<std::int64_t>(fleet_.workers.size());
    job.gang = kind <= 3;
    job.sameRack = kind == 1;
    if (kind <= 1 || kind == 4)
        job.cpu = workerCpu; // needs a whole worker
    if (kind == 5)
        job = {workerCpu, 100 * random_.draw(20, 50), workers / 2}; // half of the fleet
    if (kind == 6 || kind == 7)
        job.failures = static_cast<int>(random_.draw(1, stall_check::attempts));
    if (random_.oneIn(2))
        job.gpu = job.cpu / 1000;
    return job;
}

void soaked_jobs::submitOne()
{
    const auto id = "s" + std::to_string(++submitted_);
    const auto kind = random_.draw(0, 14);
    const auto priority = kind == 5 ? 2 : random_.draw(0, 2);
    auto &job = jobs_[id];
    job.path = "/q" + std::to_string(priority) + "/" + id;
    job.key = random_.oneIn(2) ? "key" : "other";
    job.body = addJob(fleet_, id, shapeOf(kind));
    if (random_.oneIn(8))
        job.cancelMs = nowMs() + random_.draw(200, 2000);
}

void soaked_jobs::step()
{
    for (auto &[id, job] : jobs_)
        stepJob(id, job);
    check_.update(nowMs());
}

void soaked_jobs::stepJob(const std::string &id, soaked_job &job)
{
    if (job.call.valid()) {
        if (job.call.wait_for(milliseconds {0}) == std::future_status::ready)
            receive(id, job, job.call.get());
        return;
    }
    if (job.now == stage::Open && job.cancelMs >= 0 && nowMs() >= job.cancelMs) {
        job.now = stage::Cancelling;
        job.nextCallMs = nowMs();
        check_.cancel(id);
    }
    if (job.now == stage::Open && check_.hasEnded(id))
        job.nextCallMs = std::min(job.nextCallMs, job.sentMs + pollPeriodMs);
    if (job.now != stage::Ended && job.now != stage::Refused && nowMs() >= job.nextCallMs)
        send(job);
}

void soaked_jobs::send(soaked_job &job)
{
    const std::string method = job.now == stage::Submitting ? "POST"
            : job.now == stage::Cancelling                  ? "DELETE"
                                                            : "GET";
    job.sentMs = nowMs();
    job.call = std::async(std::launch::async,
                          [this, method, path = job.path, key = job.key,
                           body = method == "POST" ? job.body : std::string()] {
                              return system_.sendToGateway(method, path, body, key);
                          });
}

void soaked_jobs::receive(const std::string &id, soaked_job &job, const http_response &answer)
{
    const auto status = answer.status;
    job.nextCallMs = nowMs() + resendMs;
    if (job.now == stage::Open)
        return receiveState(id, job, answer);
    if (job.now == stage::Cancelling) {
        if (status != 200 && status != 410)
            return;
        job.now = stage::Ended;
        return check_.confirmCancel(id, nowMs());
    }
    if (status == 200) {
        job.now = stage::Open;
        check_.accept(id, nowMs());
    } else if ((status == 503 || status == 429) && job.rejectedOnly) {
        job.now = stage::Refused;
    } else if (status != 503 && status != 429) {
        job.rejectedOnly = false;
    }
}

void soaked_jobs::receiveState(const std::string &id, soaked_job &job, const http_response &answer)
{
    job.nextCallMs = nowMs() + openPollPeriodMs;
    if (answer.status != 200 && answer.status != 410)
        return;
    const auto state = answer.status == 200 ? answer.json().at("state").as_string() : "";
    check_.show(id, state, job.sentMs);
    if (state == "done" || state == "failed")
        job.now = stage::Ended;
}

bool soaked_jobs::allEnded() const
{
    return std::ranges::all_of(jobs_, [this](const auto &item) {
        const auto now = item.second.now;
        return now == stage::Refused || (now == stage::Ended && !check_.isRunning(item.first));
    });
}

int soaked_jobs::accepted() const
{
    return static_cast<int>(std::ranges::count_if(jobs_, [](const auto &item) {
        return item.second.now == stage::Open || item.second.now == stage::Ended;
    }));
}

std::string soaked_jobs::findings()
{
    std::string text;
    for (const auto &violation : fleet_.violations)
        text += violation + "\n";
    for (const auto &violation : check_.violations())
        text += violation + "\n";
    for (const auto &[id, job] : jobs_) {
        if (job.now != stage::Refused && (job.now != stage::Ended || check_.isRunning(id)))
            text += "open: " + job.path + " " + job.body + "\n";
        if (job.now != stage::Refused)
            continue;
        const auto status = system_.sendToGateway("GET", job.path, {}, job.key).status;
        if (status != 410)
            text += "refused, but known: " + id + " " + std::to_string(status) + "\n";
        if (fleet_.startedRuns.contains(id + ".0.0.0"))
            text += "refused, but started: " + id + "\n";
    }
    return text;
}

} // namespace persimmon::system_test
