#include "batch/advice.h"

namespace persimmon::batch {

step_key stepOf(const task_id &task)
{
    return {task.job, task.occurrence, task.step};
}

const advice_book::entry *advice_book::findEntry(const step_key &step, const std::string &worker,
                                                 std::int64_t born) const
{
    const auto known = steps_.find(step);
    if (known == steps_.end())
        return nullptr;
    const auto found = known->second.find(worker);
    return found == known->second.end() || found->second.born != born ? nullptr : &found->second;
}

const std::string *advice_book::find(const step_key &step, const std::string &worker,
                                     std::int64_t born, time_point now) const
{
    const auto *found = findEntry(step, worker, born);
    return found == nullptr || found->text.empty() || found->until <= now ? nullptr : &found->text;
}

bool advice_book::isKnown(const step_key &step, const std::string &worker, std::int64_t born,
                          time_point now) const
{
    const auto *found = findEntry(step, worker, born);
    return found != nullptr && (found->text.empty() || found->until > now);
}

void advice_book::store(const step_key &step, const std::vector<advised_worker> &asked,
                        const std::vector<ticket> &allowed, time_point until)
{
    auto &known = steps_[step];
    for (const auto &worker : asked)
        known[worker.id] = {worker.born, {}, until};
    for (const auto &item : allowed) {
        if (const auto found = known.find(item.worker); found != known.end())
            found->second.text = item.text;
    }
}

void advice_book::forget(const std::function<bool(const std::string &job)> &wanted)
{
    std::erase_if(steps_, [&](const auto &item) { return !wanted(item.first.job); });
}

} // namespace persimmon::batch
