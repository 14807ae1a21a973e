#include "batch/advice.h"

namespace persimmon::batch {

step_key stepOf(const task_id &task)
{
    return {task.job, task.occurrence, task.step};
}

const advice_cache::entry *advice_cache::findEntry(const step_key &step, const std::string &worker,
                                                   std::int64_t born) const
{
    const auto cached = steps_.find(step);
    if (cached == steps_.end())
        return nullptr;
    const auto found = cached->second.find(worker);
    return found == cached->second.end() || found->second.born != born ? nullptr : &found->second;
}

const std::string *advice_cache::find(const step_key &step, const std::string &worker,
                                      std::int64_t born, time_point now) const
{
    const auto *found = findEntry(step, worker, born);
    return found == nullptr || found->text.empty() || found->until <= now ? nullptr : &found->text;
}

bool advice_cache::isKnown(const step_key &step, const std::string &worker, std::int64_t born,
                           time_point now) const
{
    const auto *found = findEntry(step, worker, born);
    return found != nullptr && (found->text.empty() || found->until > now);
}

void advice_cache::store(const step_key &step, const std::vector<worker_incarnation> &asked,
                         const std::vector<ticket> &allowed, time_point until)
{
    auto &cached = steps_[step];
    for (const auto &worker : asked)
        cached[worker.id] = {worker.born, {}, until};
    for (const auto &item : allowed) {
        if (const auto found = cached.find(item.worker); found != cached.end())
            found->second.text = item.text;
    }
}

void advice_cache::retainJobs(const std::function<bool(const std::string &job)> &isOpen)
{
    std::erase_if(steps_, [&](const auto &item) { return !isOpen(item.first.job); });
}

} // namespace persimmon::batch
