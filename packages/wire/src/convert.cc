#include "wire/convert.h"

#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

namespace persimmon::wire {

namespace {

template <typename ListBuilder, typename Items>
void writeList(ListBuilder list, const Items &items)
{
    for (unsigned i = 0; i < list.size(); ++i)
        write(list[i], items[i]);
}

template <typename ListReader>
auto readList(ListReader list)
{
    std::vector<decltype(read(list[0]))> items;
    items.reserve(list.size());
    for (const auto &item : list)
        items.push_back(read(item));
    return items;
}

} // namespace

std::string toString(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

capnp::Text::Reader toText(const std::string &text)
{
    return {text.c_str(), text.size()};
}

void writeTexts(capnp::List<capnp::Text>::Builder list, std::span<const std::string> texts)
{
    for (unsigned i = 0; i < list.size(); ++i)
        list.set(i, toText(texts[i]));
}

std::vector<std::string> readTexts(capnp::List<capnp::Text>::Reader list)
{
    std::vector<std::string> texts;
    texts.reserve(list.size());
    for (const auto &text : list)
        texts.push_back(toString(text));
    return texts;
}

std::vector<std::byte> toBytes(capnp::MessageBuilder &message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    std::vector<std::byte> copy(bytes.size());
    std::memcpy(copy.data(), bytes.begin(), bytes.size());
    return copy;
}

void write(schema::Guarantee::Builder target, const guarantee &source)
{
    target.setPool(toText(source.pool));
    target.setWorkers(source.block.workers);
    target.setAccelerators(source.block.accelerators);
    target.setCount(source.count);
}

guarantee read(schema::Guarantee::Reader source)
{
    return {toString(source.getPool()),
            {source.getWorkers(), source.getAccelerators()},
            source.getCount()};
}

void write(schema::Route::Builder target, const route &source)
{
    target.setName(toText(source.name));
    target.setWorkspace(toText(source.workspace));
    target.setHost(toText(source.host));
    target.setPathPrefix(toText(source.pathPrefix));
    target.setPool(toText(source.pool));
    target.setPriority(static_cast<std::uint8_t>(source.priority));
    target.setRepeatable(source.repeatable);
    target.setTimeoutMs(static_cast<std::uint32_t>(source.timeout.count()));
}

route read(schema::Route::Reader source)
{
    return {toString(source.getName()), toString(source.getWorkspace()),
            toString(source.getHost()), toString(source.getPathPrefix()),
            toString(source.getPool()), static_cast<priority_class>(source.getPriority()),
            source.getRepeatable(),     milliseconds {source.getTimeoutMs()}};
}

void write(schema::Pool::Builder target, const pool &source)
{
    target.setName(toText(source.name));
    target.setSlots(source.slots);
    target.setConnections(source.connections);
    target.setMaxAttempts(source.maxAttempts);
    target.setStrategy(toText(source.strategy));
}

pool read(schema::Pool::Reader source)
{
    return {toString(source.getName()), source.getSlots(), source.getConnections(),
            source.getMaxAttempts(), toString(source.getStrategy())};
}

void write(schema::Workspace::Builder target, const workspace &source)
{
    target.setName(toText(source.name));
    target.setWeight(source.weight);
    target.setQuotaAccelerators(source.quotaAccelerators);
    writeList(target.initGuarantees(source.guarantees.size()), source.guarantees);
}

workspace read(schema::Workspace::Reader source)
{
    return {toString(source.getName()), source.getWeight(), source.getQuotaAccelerators(),
            readList(source.getGuarantees())};
}

void write(schema::PoolDemand::Builder target, const pool_demand &source)
{
    target.setPool(toText(source.pool));
    target.setQueued(source.queued);
    target.setInFlight(source.inFlight);
}

pool_demand read(schema::PoolDemand::Reader source)
{
    return {toString(source.getPool()), source.getQueued(), source.getInFlight()};
}

void write(schema::SlotShare::Builder target, const slot_share &source)
{
    target.setUpstream(toText(source.upstream));
    target.setSlots(source.slots);
}

slot_share read(schema::SlotShare::Reader source)
{
    return {toString(source.getUpstream()), source.getSlots()};
}

void write(schema::UpstreamOrders::Builder target, const upstream_orders &source)
{
    target.setUpstream(toText(source.upstream));
    writeList(target.initOrders(source.orders.size()), source.orders);
}

upstream_orders read(schema::UpstreamOrders::Reader source)
{
    return {toString(source.getUpstream()), readList(source.getOrders())};
}

void write(schema::Location::Builder target, const location &source)
{
    target.setRegion(toText(source.region));
    target.setZone(toText(source.zone));
    target.setRack(toText(source.rack));
}

location read(schema::Location::Reader source)
{
    return {toString(source.getRegion()), toString(source.getZone()), toString(source.getRack())};
}

void write(schema::Resources::Builder target, const resources &source)
{
    target.setAccelerators(source.accelerators);
    target.setCores(source.cores);
    target.setMemoryMb(source.memoryMb);
}

resources read(schema::Resources::Reader source)
{
    return {source.getAccelerators(), source.getCores(), source.getMemoryMb()};
}

void write(schema::Tables::Builder target, const tables &source)
{
    target.setVersion(source.version);
    writeList(target.initRoutes(source.routes.size()), source.routes);
    writeList(target.initPools(source.pools.size()), source.pools);
    writeList(target.initWorkspaces(source.workspaces.size()), source.workspaces);
}

tables read(schema::Tables::Reader source)
{
    return {source.getVersion(), readList(source.getRoutes()), readList(source.getPools()),
            readList(source.getWorkspaces())};
}

void write(schema::Announcement::Builder target, const announcement &source)
{
    target.setId(toText(source.id));
    target.setIncarnation(source.incarnation);
    target.setAddress(toText(source.address));
    target.setPool(toText(source.pool));
    write(target.initPlace(), source.place);
    target.setSlots(source.slots);
    target.setConnections(source.connections);
    write(target.initCapacity(), source.capacity);
    target.setState(static_cast<std::uint8_t>(source.state));
}

announcement read(schema::Announcement::Reader source)
{
    return {toString(source.getId()),
            source.getIncarnation(),
            toString(source.getAddress()),
            toString(source.getPool()),
            read(source.getPlace()),
            source.getSlots(),
            source.getConnections(),
            read(source.getCapacity()),
            static_cast<upstream_state>(source.getState())};
}

void write(schema::TaskRef::Builder target, const task_ref &source)
{
    target.setJob(toNumber(source.job));
    target.setAttempt(source.attempt);
    target.setIndex(source.index);
    target.setToken(source.token);
}

task_ref read(schema::TaskRef::Reader source)
{
    return {static_cast<job_id>(source.getJob()), source.getAttempt(), source.getIndex(),
            source.getToken()};
}

void write(schema::TaskReport::Builder target, const task_report &source)
{
    target.setUpstream(toText(source.upstream));
    target.setIncarnation(source.incarnation);
    write(target.initTask(), source.task);
    target.setState(static_cast<std::uint8_t>(source.state));
    target.setResult(toText(source.result));
    target.setUsagePercent(source.usagePercent);
}

task_report read(schema::TaskReport::Reader source)
{
    return {toString(source.getUpstream()), source.getIncarnation(),
            read(source.getTask()),         static_cast<task_state>(source.getState()),
            toString(source.getResult()),   source.getUsagePercent()};
}

void write(schema::TaskOrder::Builder target, const task_order &source)
{
    target.setUpstream(toText(source.upstream));
    write(target.initTask(), source.task);
    target.setAction(static_cast<std::uint8_t>(source.action));
    write(target.initSize(), source.size);
    target.setPayload(toText(source.payload));
}

task_order read(schema::TaskOrder::Reader source)
{
    return {toString(source.getUpstream()), read(source.getTask()),
            static_cast<task_action>(source.getAction()), read(source.getSize()),
            toString(source.getPayload())};
}

void write(schema::JobSpec::Builder target, const job_spec &source)
{
    target.setWorkspace(toText(source.workspace));
    target.setPool(toText(source.pool));
    target.setPriority(static_cast<std::uint8_t>(source.priority));
    target.setTasks(source.tasks);
    write(target.initTask(), source.task);
    target.setDeclaredSeconds(source.declaredSeconds);
    target.setRepeatable(source.repeatable);
    target.setPayload(toText(source.payload));
}

job_spec read(schema::JobSpec::Reader source)
{
    return {toString(source.getWorkspace()),
            toString(source.getPool()),
            static_cast<priority_class>(source.getPriority()),
            source.getTasks(),
            read(source.getTask()),
            source.getDeclaredSeconds(),
            source.getRepeatable(),
            toString(source.getPayload())};
}

void write(schema::DecisionRecord::Builder target, const decision_record &source)
{
    target.setKind(static_cast<std::uint8_t>(source.kind));
    target.setAtMs(source.at.count());
    target.setReason(static_cast<std::uint8_t>(source.reason));
    target.setCode(static_cast<std::uint16_t>(source.code));
    target.setOther(toNumber(source.other));
    target.setDetail(toText(source.detail));
}

decision_record read(schema::DecisionRecord::Reader source)
{
    return {static_cast<decision_kind>(source.getKind()),
            wall_ms {source.getAtMs()},
            static_cast<wait_reason>(source.getReason()),
            static_cast<result_code>(source.getCode()),
            static_cast<job_id>(source.getOther()),
            toString(source.getDetail())};
}

void write(schema::Answer::Builder target, const answer &source)
{
    target.setStatus(source.status);
    target.setContentType(toText(source.contentType));
    target.setBody(toText(source.body));
}

answer read(schema::Answer::Reader source)
{
    return {source.getStatus(), toString(source.getContentType()), toString(source.getBody())};
}

void write(schema::Error::Builder target, const error &source)
{
    target.setCode(static_cast<std::uint16_t>(source.code));
    target.setDetail(toText(source.detail));
    target.setField(toText(source.field));
    target.setRetryAfterMs(static_cast<std::uint32_t>(source.retryAfter.count()));
}

error read(schema::Error::Reader source)
{
    return {static_cast<result_code>(source.getCode()), toString(source.getDetail()),
            toString(source.getField()), milliseconds {source.getRetryAfterMs()}};
}

void write(schema::SyncRequest::Builder target, const sync_request &source)
{
    target.setEntryId(toText(source.entryId));
    target.setEntryIncarnation(source.entryIncarnation);
    target.setHttpAddress(toText(source.httpAddress));
    write(target.initPlace(), source.place);
    target.setAppliedVersion(source.appliedVersion);
    target.setViewEpoch(source.viewEpoch);
    target.setViewSequence(source.viewSequence);
    writeList(target.initAnnouncements(source.announcements.size()), source.announcements);
    writeTexts(target.initAlive(source.alive.size()), source.alive);
    writeList(target.initReports(source.reports.size()), source.reports);
    writeList(target.initDemand(source.demand.size()), source.demand);
    target.setStopping(source.stopping);
    target.setWaitMs(static_cast<std::uint32_t>(source.wait.count()));
}

sync_request read(schema::SyncRequest::Reader source)
{
    sync_request request;
    request.entryId = toString(source.getEntryId());
    request.entryIncarnation = source.getEntryIncarnation();
    request.httpAddress = toString(source.getHttpAddress());
    request.place = read(source.getPlace());
    request.appliedVersion = source.getAppliedVersion();
    request.viewEpoch = source.getViewEpoch();
    request.viewSequence = source.getViewSequence();
    request.announcements = readList(source.getAnnouncements());
    request.alive = readTexts(source.getAlive());
    request.reports = readList(source.getReports());
    request.demand = readList(source.getDemand());
    request.stopping = source.getStopping();
    request.wait = milliseconds {source.getWaitMs()};
    return request;
}

void write(schema::SyncResponse::Builder target, const sync_response &source)
{
    write(target.initError(), source.failure);
    target.setLeaderHint(source.leaderHint);
    target.setLeaseMs(static_cast<std::uint32_t>(source.lease.count()));
    target.setHasTables(source.hasTables);
    if (source.hasTables)
        write(target.initTables(), source.newTables);
    target.setViewEpoch(source.viewEpoch);
    target.setViewSequence(source.viewSequence);
    target.setFullView(source.fullView);
    writeList(target.initUpstreams(source.upstreams.size()), source.upstreams);
    writeList(target.initOrders(source.orders.size()), source.orders);
    writeList(target.initShares(source.shares.size()), source.shares);
    target.setDrain(source.drain);
    target.setHasShares(source.hasShares);
}

sync_response read(schema::SyncResponse::Reader source)
{
    sync_response response;
    response.failure = read(source.getError());
    response.leaderHint = source.getLeaderHint();
    response.lease = milliseconds {source.getLeaseMs()};
    response.hasTables = source.getHasTables();
    if (response.hasTables)
        response.newTables = read(source.getTables());
    response.viewEpoch = source.getViewEpoch();
    response.viewSequence = source.getViewSequence();
    response.fullView = source.getFullView();
    response.upstreams = readList(source.getUpstreams());
    response.orders = readList(source.getOrders());
    response.shares = readList(source.getShares());
    response.drain = source.getDrain();
    response.hasShares = source.getHasShares();
    return response;
}

void write(schema::JobView::Builder target, const job_view &source)
{
    target.setId(toNumber(source.id));
    target.setState(static_cast<std::uint8_t>(source.state));
    target.setAttempt(source.attempt);
    write(target.initSpec(), source.spec);
    writeTexts(target.initResults(source.results.size()), source.results);
    target.setCode(static_cast<std::uint16_t>(source.code));
    writeList(target.initRecords(source.records.size()), source.records);
}

job_view read(schema::JobView::Reader source)
{
    return {static_cast<job_id>(source.getId()),
            static_cast<job_state>(source.getState()),
            source.getAttempt(),
            read(source.getSpec()),
            readTexts(source.getResults()),
            static_cast<result_code>(source.getCode()),
            readList(source.getRecords())};
}

} // namespace persimmon::wire
