#include "entry_fixture.h"

#include "base/log.h"

namespace persimmon::entry::test {

namespace {

class fake_link : public control_link
{
public:
    fake_link(wire::event_loop &loop, fake_control &control)
        : loop_(loop)
        , control_(control)
    {
    }

    void sync(const sync_request &request, completion<sync_response> done) override
    {
        {
            const std::scoped_lock lock(control_.mutex);
            control_.syncs.push_back(request);
            if (control_.reachable)
                merge(request);
        }
        const auto wait = std::max(request.wait, milliseconds {1});
        loop_.timers().after(
                wait, [this, request, done](time_point /*now*/) { done(answerTo(request)); });
    }

    void submitJob(const std::string & /*key*/, const job_spec &spec, milliseconds /*deadline*/,
                   completion<job_id> done) override
    {
        const std::scoped_lock lock(control_.mutex);
        control_.jobs.push_back(spec);
        done(static_cast<job_id>(control_.jobs.size()));
    }

    void getJob(job_id id, milliseconds /*deadline*/, completion<job_view> done) override
    {
        const std::scoped_lock lock(control_.mutex);
        if (toNumber(id) == 0 || toNumber(id) > control_.jobs.size())
            return done(error {result_code::NotFound, "no such job", {}, {}});
        job_view view;
        view.id = id;
        view.state = job_state::Done;
        view.spec = control_.jobs[toNumber(id) - 1];
        view.results = {"made"};
        done(view);
    }

    void cancelJob(job_id /*id*/, milliseconds /*deadline*/,
                   completion<std::monostate> done) override
    {
        done(std::monostate {});
    }

    void recordIntent(const intent_request &request, milliseconds /*deadline*/,
                      completion<intent_reply> done) override
    {
        result<intent_reply> reply = error {result_code::NoQuorum, "unreachable", {}, {}};
        {
            const std::scoped_lock lock(control_.mutex);
            if (control_.reachable)
                reply = decide(request);
        }
        loop_.timers().after(milliseconds {1}, [done, reply](time_point /*now*/) { done(reply); });
    }

    void recordOutcome(const outcome_record &record, milliseconds /*deadline*/,
                       completion<std::monostate> done) override
    {
        {
            const std::scoped_lock lock(control_.mutex);
            auto &entry = control_.intents[record.key.key];
            entry.open = false;
            entry.outcome = record.outcome;
            entry.stored = record.stored;
        }
        loop_.timers().after(milliseconds {1},
                             [done](time_point /*now*/) { done(std::monostate {}); });
    }

private:
    void merge(const sync_request &request)
    {
        for (const auto &announced : request.announcements) {
            std::erase_if(control_.upstreams,
                          [&](const auto &item) { return item.id == announced.id; });
            control_.upstreams.push_back(announced);
        }
    }

    result<sync_response> answerTo(const sync_request &request)
    {
        const std::scoped_lock lock(control_.mutex);
        if (!control_.reachable)
            return error {result_code::NoQuorum, "unreachable", {}, {}};
        sync_response response;
        response.lease = control_.lease;
        response.hasTables = control_.current.version != request.appliedVersion;
        response.newTables = control_.current;
        response.viewEpoch = control_.epoch;
        response.viewSequence = ++sequence_;
        response.fullView = true;
        response.upstreams = control_.upstreams;
        response.orders = control_.orders;
        response.drain = control_.drain;
        return response;
    }

    intent_reply decide(const intent_request &request)
    {
        const auto [place, added] = control_.intents.try_emplace(request.key.key);
        auto &entry = place->second;
        if (added) {
            entry.digest = request.digest;
            entry.attempt = control_.intents.size();
            return {intent_decision::Dispatch, entry.attempt, request_outcome::Unknown, {}};
        }
        if (entry.open)
            return {intent_decision::InProgress, 0, request_outcome::Unknown, {}};
        if (entry.outcome == request_outcome::Ran)
            return {intent_decision::Stored, entry.attempt, entry.outcome, entry.stored};
        return {intent_decision::Unknown, entry.attempt, entry.outcome, {}};
    }

    wire::event_loop &loop_;
    fake_control &control_;
    std::uint64_t sequence_ = 0;
};

} // namespace

entry_fixture::entry_fixture(std::function<void(settings &)> configureSettings)
    : thread_([this, configureSettings = std::move(configureSettings)] { run(configureSettings); })
{
    waitFor([this] { return started_.load(); });
}

entry_fixture::~entry_fixture()
{
    loop_->stop();
    thread_.join();
}

void entry_fixture::run(const std::function<void(settings &)> &configureSettings)
{
    setLogLevel("off");
    wire::event_loop loop;
    settings values;
    values.instanceId = "entry-1";
    values.httpListen = "127.0.0.1:" + std::to_string(port_);
    values.drainDelay = milliseconds {100};
    values.syncWait = milliseconds {50};
    if (configureSettings)
        configureSettings(values);
    auto started = startEntry(loop, values, std::make_unique<fake_link>(loop, control));
    if (failed(started))
        throw std::runtime_error(errorOf(started).detail);
    loop_ = &loop;
    server_ = valueOf(started).get();
    started_ = true;
    loop.run();
    valueOf(started).reset();
}

std::string entry_fixture::call(const std::string &method, const std::string &target,
                                const std::string &headers, const std::string &body) const
{
    return sendAndReceive(port_, requestText(method, target, headers, body));
}

bool entry_fixture::waitFor(const std::function<bool()> &condition)
{
    for (int attempt = 0; attempt < 500; ++attempt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds {10});
    }
    return false;
}

bool entry_fixture::waitReady() const
{
    return waitFor([this] { return call("GET", "/readyz").find(" 200 ") != std::string::npos; });
}

bool entry_fixture::shutDown()
{
    loop_->post([this] { server_->beginShutdown([this] { shutDown_ = true; }); });
    return waitFor([this] { return shutDown_.load(); });
}

announcement upstreamAt(const std::string &id, const std::string &address)
{
    announcement announced;
    announced.id = id;
    announced.incarnation = 1;
    announced.address = address;
    announced.pool = "p";
    announced.slots = 8;
    announced.connections = 60;
    return announced;
}

void configure(fake_control &control, const std::vector<std::string> &addresses)
{
    const std::scoped_lock lock(control.mutex);
    const milliseconds timeout {1000};
    control.current.version = 1;
    control.current.pools = {{"p", 8, 60, 3, "buddy"}};
    control.current.workspaces = {{"boards", 1, 0, {}}};
    control.current.routes
            = {{"r", "boards", "", "/r", "p", priority_class::Standard, true, timeout},
               {"once", "boards", "", "/once", "p", priority_class::Standard, false, timeout},
               {"host", "boards", "only.example", "/host", "p", priority_class::Standard, true,
                timeout}};
    for (const auto &address : addresses)
        control.upstreams.push_back(
                upstreamAt("u" + std::to_string(control.upstreams.size()), address));
}

} // namespace persimmon::entry::test
