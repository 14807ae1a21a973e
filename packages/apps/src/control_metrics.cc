#include "apps/control_metrics.h"

#include "apps/names.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <sstream>

namespace persimmon::apps {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;

// Bucket bounds in seconds. A disk sync takes 0.1 to 20 ms, an election up to a second.
const prometheus::Histogram::BucketBoundaries commitBuckets {
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
const prometheus::Histogram::BucketBoundaries callBuckets {0.0005, 0.001, 0.005, 0.02, 0.05,
                                                           0.1,    0.25,  0.5,   1,    2};

// Collects the values of one scrape, so that removed rows are no longer exported.
class scrape_values
{
public:
    void add(const std::string &name, const std::string &help, double value,
             std::vector<ClientMetric::Label> labels = {})
    {
        auto &family = families_[name];
        family.name = name;
        family.help = help;
        family.type = prometheus::MetricType::Gauge;
        ClientMetric metric;
        metric.label = std::move(labels);
        metric.gauge.value = value;
        family.metric.push_back(std::move(metric));
    }

    void addCounter(const std::string &name, const std::string &help, double value)
    {
        auto &family = families_[name];
        family.name = name;
        family.help = help;
        family.type = prometheus::MetricType::Counter;
        ClientMetric metric;
        metric.counter.value = value;
        family.metric.push_back(std::move(metric));
    }

    void appendTo(std::vector<MetricFamily> &target) const
    {
        for (const auto &[name, family] : families_)
            target.push_back(family);
    }

private:
    std::map<std::string, MetricFamily> families_;
};

template <typename Number>
double toDouble(Number value)
{
    return static_cast<double>(value);
}

void addNode(scrape_values &values, const voter &source)
{
    const auto node = source.nodeStatus();
    for (const auto role : {consensus::node_role::Learner, consensus::node_role::Follower,
                            consensus::node_role::Candidate, consensus::node_role::Leader}) {
        values.add("persimmon_control_role", "1 for the current role of this voter",
                   node.role == role ? 1 : 0, {{"role", std::string(toName(role))}});
    }
    values.add("persimmon_control_leader_id", "number of the known leader, 0: not known",
               node.leader);
    values.add("persimmon_control_term", "current term", toDouble(node.term));
    values.add("persimmon_log_committed_index", "last committed log entry",
               toDouble(node.committed));
    values.add("persimmon_log_applied_index", "last applied log entry", toDouble(node.applied));
    values.add("persimmon_log_last_index", "last stored log entry", toDouble(node.lastIndex));
    values.add("persimmon_log_snapshot_index", "last log entry covered by the snapshot",
               toDouble(node.snapshotIndex));
    for (const auto &peer : node.peers)
        values.add("persimmon_log_peer_matched_index", "last entry a voter holds, on the leader",
                   toDouble(peer.matched), {{"voter", std::to_string(peer.id)}});
    values.add("persimmon_configuration_version", "version of the tables applied here",
               toDouble(source.ledger().currentTables().version));
}

void addRollout(scrape_values &values, const control::rollout &rollout)
{
    values.add("persimmon_rollout_complete",
               "1 when the version is in force on every entry that holds a lease",
               rollout.complete ? 1 : 0);
    for (const auto &entry : rollout.entries) {
        values.add("persimmon_entry_applied_version", "version in force on an entry",
                   toDouble(entry.appliedVersion), {{"entry", entry.id}});
        values.add("persimmon_entry_lease_left_seconds", "lease left, 0: the entry does not serve",
                   toDouble(entry.leaseLeft.count()) / 1000, {{"entry", entry.id}});
    }
}

void addUsage(scrape_values &values, const control::cluster_status &status)
{
    for (const auto &pool : status.pools) {
        values.add("persimmon_pool_workers", "workers present", pool.workers,
                   {{"pool", pool.pool}});
        values.add("persimmon_pool_accelerators", "accelerators present", pool.accelerators,
                   {{"pool", pool.pool}});
        values.add("persimmon_pool_accelerators_used", "accelerators in use", pool.used,
                   {{"pool", pool.pool}});
    }
    for (const auto &workspace : status.workspaces) {
        const std::vector<ClientMetric::Label> labels {{"workspace", workspace.workspace}};
        values.add("persimmon_workspace_accelerators_guaranteed", "accelerators guaranteed",
                   workspace.guaranteed, labels);
        values.add("persimmon_workspace_accelerators_used",
                   "accelerators used by running jobs of the workspace", workspace.used, labels);
        values.add("persimmon_workspace_accelerators_borrowed",
                   "accelerators used from guarantees of other workspaces", workspace.borrowed,
                   labels);
        values.add("persimmon_workspace_accelerators_lent",
                   "guaranteed accelerators used by other workspaces", workspace.lent, labels);
        values.add("persimmon_workspace_waiting_jobs", "jobs that wait", workspace.waitingJobs,
                   labels);
    }
}

void addCluster(scrape_values &values, const control::cluster_status &status)
{
    std::map<std::pair<std::string, std::string>, std::size_t> upstreams;
    for (const auto &item : status.upstreams)
        ++upstreams[{item.pool, std::string(persimmon::toName(item.state))}];
    for (const auto &[key, count] : upstreams)
        values.add("persimmon_upstreams", "upstreams with a lease", toDouble(count),
                   {{"pool", key.first}, {"state", key.second}});
    values.add("persimmon_entries", "entries known to the leader", toDouble(status.entries.size()));
    values.add("persimmon_workers_quarantined", "workers in quarantine",
               toDouble(status.quarantined.size()));
    values.add("persimmon_waiting_jobs", "jobs that wait", toDouble(status.waitingJobs));
    values.add("persimmon_running_jobs", "jobs that are placed", toDouble(status.runningJobs));
    addUsage(values, status);
}

} // namespace

class control_metrics::implementation
{
public:
    prometheus::Registry registry;
    prometheus::Histogram &commits = prometheus::BuildHistogram()
                                             .Name("persimmon_log_commit_seconds")
                                             .Help("time from the proposal to the end of a command")
                                             .Register(registry)
                                             .Add({}, commitBuckets);
    prometheus::Family<prometheus::Histogram> &calls
            = prometheus::BuildHistogram()
                      .Name("persimmon_rpc_seconds")
                      .Help("time from the arrival of a call to its answer")
                      .Register(registry);
    std::function<std::uint64_t()> dropped = [] { return 0; };
};

control_metrics::control_metrics()
    : implementation_(std::make_unique<implementation>())
{
}

control_metrics::~control_metrics() = default;

void control_metrics::observeCommit(double seconds)
{
    implementation_->commits.Observe(seconds);
}

void control_metrics::observeCall(std::string_view method, double seconds)
{
    implementation_->calls.Add({{"method", std::string(method)}}, callBuckets).Observe(seconds);
}

void control_metrics::setDroppedSource(std::function<std::uint64_t()> source)
{
    implementation_->dropped = std::move(source);
}

std::string control_metrics::serialize(const voter &source) const
{
    auto families = implementation_->registry.Collect();
    scrape_values values;
    addNode(values, source);
    values.addCounter("persimmon_peer_messages_dropped_total",
                      "messages to other voters that were dropped",
                      toDouble(implementation_->dropped()));
    if (!failed(source.checkReads())) {
        addRollout(values, source.coordinator().currentRollout(source.now()));
        addCluster(values, source.coordinator().currentStatus(source.now()));
    }
    values.appendTo(families);
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, families);
    return text.str();
}

} // namespace persimmon::apps
