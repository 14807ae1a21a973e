#include "neighbours.h"

#include <cmath>

namespace persimmon::batch::detail {

namespace {

// Smaller differences between estimates don't change the order of workers.
constexpr double ranksPerUnit = 10;

} // namespace

neighbours::neighbours(const interference_model *model, std::size_t workers)
    : model_(model)
{
    if (model == nullptr || !model->believesAny())
        return;
    for (std::size_t i = 0; i < maxTaskKinds; ++i) {
        const auto placed = static_cast<kind_index>(i);
        const auto avoided = model->avoidedBy(placed);
        for (std::size_t j = 0; j < maxTaskKinds; ++j) {
            const auto other = static_cast<kind_index>(j);
            if (avoided.test(j))
                costs_[placed][other] = model->costBeside(placed, other);
        }
    }
    kinds_.resize(workers);
}

std::optional<kind_index> neighbours::kindOf(const std::string &queue, std::uint32_t step) const
{
    if (!matter())
        return std::nullopt;
    const auto kind = model_->find({queue, step});
    return kind && costs_.contains(*kind) ? kind : std::nullopt;
}

void neighbours::add(std::size_t worker, std::optional<kind_index> kind)
{
    if (kind)
        kinds_[worker].set(*kind);
}

std::int64_t neighbours::rank(kind_index placed, std::size_t worker) const
{
    double sum = 0;
    for (const auto &[other, cost] : costs_.at(placed)) {
        if (kinds_[worker].test(other))
            sum += cost;
    }
    return std::lround(sum * ranksPerUnit);
}

} // namespace persimmon::batch::detail
