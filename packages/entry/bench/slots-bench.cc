// Compares, in virtual time, three ways of sharing the slots of upstreams between entries: a fixed
// share, a fixed share with lending by the leader, and a random choice of two upstreams that refuse
// requests when they have no free slot. Model: Poisson arrivals, exponential service times with a
// mean of 100 ms, 1 ms per message, one FIFO queue per entry.
#include "random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <queue>
#include <string>
#include <vector>

namespace {

using persimmon::entry::random_source;

constexpr std::size_t upstreamCount = 50;
constexpr std::size_t entryCount = 8;
constexpr std::uint32_t slotsOfUpstream = 8;
constexpr std::uint32_t connectionsOfUpstream = 60;
constexpr double serviceMs = 100;
constexpr double messageMs = 1;
constexpr double sharePeriodMs = 100; // as the leader's, see slot_shares in the control package
constexpr double refusalPauseMs = 5; // before a refused request is retried
constexpr double durationMs = 60000;
constexpr double warmUpMs = 5000;

enum class sharing : std::uint8_t { Fixed, LendingWhole, LendingSpread, Refusals };

struct scenario
{
    const char *callers;
    std::array<double, entryCount> entryLoads; // fraction of the load at each entry
    double load; // fraction of all slots
};

enum class event_kind : std::uint8_t { Arrive, Reach, Finish, Free, Refused, Shares, Confirm };

struct event
{
    double at = 0;
    std::uint64_t order = 0;
    event_kind kind = event_kind::Arrive;
    std::size_t entry = 0;
    std::size_t upstream = 0;
    double arrivedAt = 0;

    friend bool operator<(const event &left, const event &right)
    {
        return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
};

struct outcome
{
    std::vector<double> waits;
    std::uint64_t refusals = 0;
    std::uint64_t overSlots = 0; // requests that reached an upstream without a free slot
    double busyMs = 0;
    std::uint32_t maxConnections = 0; // at one upstream
};

class simulation
{
public:
    simulation(sharing kind, const scenario &source)
        : kind_(kind)
        , source_(source)
        , random_(20261204)
    {
        for (auto &row : share_)
            row.fill(kind == sharing::Refusals ? connectionsOfUpstream / entryCount : 1);
        held_ = share_;
    }

    outcome run()
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry)
            scheduleArrival(entry);
        if (kind_ == sharing::LendingWhole || kind_ == sharing::LendingSpread)
            schedule(sharePeriodMs, {.kind = event_kind::Shares});
        while (!events_.empty() && events_.top().at < durationMs) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
        return std::move(result_);
    }

private:
    double exponential(double mean)
    {
        const auto unit = (static_cast<double>(random_.next() >> 11U) + 1) / 9007199254740993.0;
        return -mean * std::log(unit);
    }

    void schedule(double delay, event item)
    {
        item.at = now_ + delay;
        item.order = ++order_;
        events_.push(item);
    }

    void scheduleArrival(std::size_t entry)
    {
        const double perMs = source_.load * upstreamCount * slotsOfUpstream / serviceMs;
        schedule(exponential(1 / (perMs * source_.entryLoads.at(entry))),
                 {.kind = event_kind::Arrive, .entry = entry});
    }

    void handle(const event &item)
    {
        switch (item.kind) {
        case event_kind::Arrive:
            queues_.at(item.entry).push_back(now_);
            scheduleArrival(item.entry);
            dispatch(item.entry);
            break;
        case event_kind::Reach:
            reach(item);
            break;
        case event_kind::Finish:
            finish(item);
            break;
        case event_kind::Free:
            --used_[item.entry][item.upstream];
            dispatch(item.entry);
            break;
        case event_kind::Refused:
            queues_.at(item.entry).push_front(item.arrivedAt);
            dispatch(item.entry);
            break;
        case event_kind::Shares:
            updateShares();
            schedule(sharePeriodMs, {.kind = event_kind::Shares});
            break;
        case event_kind::Confirm:
            held_ = share_;
            applyTargets();
            break;
        }
    }

    // Sends queued requests of an entry while one of two random upstreams, or any other, has a free
    // slot.
    void dispatch(std::size_t entry)
    {
        auto &queue = queues_.at(entry);
        while (!queue.empty()) {
            const auto upstream = choose(entry);
            if (upstream == upstreamCount)
                return;
            ++used_[entry][upstream];
            const auto arrivedAt = queue.front();
            queue.pop_front();
            schedule(messageMs,
                     {.kind = event_kind::Reach,
                      .entry = entry,
                      .upstream = upstream,
                      .arrivedAt = arrivedAt});
        }
    }

    bool isFree(std::size_t entry, std::size_t upstream) const
    {
        return used_[entry][upstream] < share_[entry][upstream];
    }

    std::size_t choose(std::size_t entry)
    {
        const auto first = random_.below(upstreamCount);
        const auto second = random_.below(upstreamCount);
        const bool firstFree = isFree(entry, first);
        if (firstFree && isFree(entry, second))
            return used_[entry][second] < used_[entry][first] ? second : first;
        if (firstFree)
            return first;
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            const auto upstream = (second + index) % upstreamCount;
            if (isFree(entry, upstream))
                return upstream;
        }
        return upstreamCount;
    }

    void reach(const event &item)
    {
        auto &busy = busy_.at(item.upstream);
        auto &backlog = backlog_.at(item.upstream);
        result_.maxConnections = std::max(result_.maxConnections,
                                          busy + static_cast<std::uint32_t>(backlog.size()) + 1);
        if (busy < slotsOfUpstream)
            return start(item);
        if (kind_ == sharing::Refusals) {
            ++result_.refusals;
            schedule(messageMs,
                     {.kind = event_kind::Free, .entry = item.entry, .upstream = item.upstream});
            auto retry = item;
            retry.kind = event_kind::Refused;
            return schedule(messageMs + refusalPauseMs, retry);
        }
        ++result_.overSlots;
        backlog.push_back(item);
    }

    void start(const event &item)
    {
        ++busy_.at(item.upstream);
        const auto service = exponential(serviceMs);
        if (now_ >= warmUpMs) {
            result_.waits.push_back(now_ - messageMs - item.arrivedAt);
            result_.busyMs += std::min(service, durationMs - now_);
        }
        auto end = item;
        end.kind = event_kind::Finish;
        schedule(service, end);
    }

    void finish(const event &item)
    {
        --busy_.at(item.upstream);
        auto &backlog = backlog_.at(item.upstream);
        if (!backlog.empty()) {
            const auto next = backlog.front();
            backlog.pop_front();
            start(next);
        }
        schedule(messageMs,
                 {.kind = event_kind::Free, .entry = item.entry, .upstream = item.upstream});
    }

    using entry_counts = std::array<std::uint32_t, entryCount>;

    // Models the leader's rule: each entry first gets its own share up to its demand, then spare
    // slots go to entries that need more, then the rest to their owners. A share grows only by
    // slots that the others have released.
    void updateShares()
    {
        entry_counts total {};
        entry_counts withHeadroom {}; // includes arrivals until the next update
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            std::size_t load = queues_.at(entry).size();
            for (const auto count : used_[entry])
                load += count;
            total.at(entry) = static_cast<std::uint32_t>(load);
            withHeadroom.at(entry)
                    = static_cast<std::uint32_t>(load + load / 4 + upstreamCount / 10);
        }
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream)
            assignShares(upstream, wantedAt(upstream, total), wantedAt(upstream, withHeadroom));
        applyTargets();
        schedule(2 * messageMs, {.kind = event_kind::Confirm});
    }

    // Returns the slots that each entry needs at one upstream: the same whole number at all
    // upstreams, or its total spread over them, with the remainder at upstreams that differ between
    // entries.
    entry_counts wantedAt(std::size_t upstream, const entry_counts &total) const
    {
        entry_counts want {};
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            const auto load = total.at(entry);
            const auto rest = load % upstreamCount;
            const auto offset = entry * upstreamCount / entryCount;
            auto each = load / upstreamCount;
            if (kind_ == sharing::LendingWhole)
                each += rest > 0 ? 1 : 0;
            else if ((upstream + upstreamCount - offset) % upstreamCount < rest)
                ++each;
            want.at(entry)
                    = static_cast<std::uint32_t>(std::min<std::size_t>(each, slotsOfUpstream));
        }
        return want;
    }

    void assignShares(std::size_t upstream, const entry_counts &want,
                      const entry_counts &withHeadroom)
    {
        entry_counts granted {};
        std::uint32_t spare = slotsOfUpstream;
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            const bool keepsOwn = want.at(entry) > 0
                    || (kind_ == sharing::LendingWhole && (upstream + entry) % 4 == 0);
            granted.at(entry) = keepsOwn ? 1 : 0;
            spare -= granted.at(entry);
        }
        const auto grantUpTo = [&](const entry_counts &limit) {
            for (bool changed = true; changed && spare > 0;) {
                changed = false;
                for (std::size_t step = 0; step < entryCount && spare > 0; ++step) {
                    const auto entry = (upstream + step) % entryCount;
                    if (granted.at(entry) >= limit.at(entry))
                        continue;
                    ++granted.at(entry);
                    --spare;
                    changed = true;
                }
            }
        };
        grantUpTo(want);
        if (kind_ == sharing::LendingSpread)
            grantUpTo(withHeadroom);
        entry_counts fixed {};
        fixed.fill(1);
        grantUpTo(fixed);
        for (std::size_t entry = 0; entry < entryCount; ++entry)
            target_[entry][upstream] = granted.at(entry);
    }

    // Moves the shares to their targets as far as the others have released slots.
    void applyTargets()
    {
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
            for (std::size_t entry = 0; entry < entryCount; ++entry) {
                std::uint32_t others = 0;
                for (std::size_t other = 0; other < entryCount; ++other)
                    others += other == entry ? 0 : held_[other][upstream];
                const auto room = others >= slotsOfUpstream ? 0 : slotsOfUpstream - others;
                auto &share = share_[entry][upstream];
                share = std::min(target_[entry][upstream], room);
                held_[entry][upstream] = std::max(held_[entry][upstream], share);
            }
        }
        for (std::size_t entry = 0; entry < entryCount; ++entry)
            dispatch(entry);
    }

    using matrix = std::array<std::array<std::uint32_t, upstreamCount>, entryCount>;

    sharing kind_;
    const scenario &source_;
    random_source random_;
    double now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    std::array<std::deque<double>, entryCount> queues_;
    matrix share_ {};
    matrix target_ {};
    matrix held_ {}; // the leader's upper bound of the slots that the entries use
    matrix used_ {};
    std::array<std::uint32_t, upstreamCount> busy_ {};
    std::array<std::deque<event>, upstreamCount> backlog_;
    outcome result_;
};

double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    const auto position
            = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position),
                     values.end());
    return values[position];
}

void report(sharing kind, const char *name, const scenario &source)
{
    auto measured = simulation(kind, source).run();
    const auto servedCount = static_cast<double>(std::max<std::size_t>(measured.waits.size(), 1));
    const auto slots = static_cast<double>(upstreamCount * slotsOfUpstream);
    std::printf("%-14s %-8s %5.0f%% %6.1f%% %9.1f %9.1f %9.2f %9.2f %6u\n", name, source.callers,
                source.load * 100, measured.busyMs / (slots * (durationMs - warmUpMs)) * 100,
                percentile(measured.waits, 0.5), percentile(measured.waits, 0.99),
                static_cast<double>(measured.refusals) * 100 / servedCount,
                static_cast<double>(measured.overSlots) * 100 / servedCount,
                measured.maxConnections);
}

} // namespace

int main()
{
    std::printf("%zu upstreams, %u slots each, %zu entries; waits in ms; refused and over (reached "
                "an upstream without a free slot) per 100 requests; conns: most at one upstream\n",
                upstreamCount, slotsOfUpstream, entryCount);
    std::printf("%-14s %-8s %6s %7s %9s %9s %9s %9s %6s\n", "sharing", "callers", "load", "used",
                "p50", "p99", "refused", "over", "conns");
    constexpr std::array<double, entryCount> balanced {0.125, 0.125, 0.125, 0.125,
                                                       0.125, 0.125, 0.125, 0.125};
    constexpr std::array<double, entryCount> skewed {0.44, 0.08, 0.08, 0.08,
                                                     0.08, 0.08, 0.08, 0.08};
    for (const double load : {0.5, 0.7, 0.85, 0.95}) {
        for (const auto &[callers, entryLoads] :
             {std::pair {"balanced", balanced}, std::pair {"skewed", skewed}}) {
            const scenario source {callers, entryLoads, load};
            report(sharing::Fixed, "fixed", source);
            report(sharing::LendingWhole, "lending/whole", source);
            report(sharing::LendingSpread, "lending/spread", source);
            report(sharing::Refusals, "refusals", source);
        }
    }
    return EXIT_SUCCESS;
}
