#include "control/ledger.h"

#include "ledger_data.h"
#include "transitions.h"

namespace persimmon::control {

namespace {

class replicated_ledger : public ledger
{
public:
    consensus::byte_buffer apply(consensus::log_index index, consensus::byte_view bytes) override
    {
        const auto decoded = decodeCommand(bytes);
        if (failed(decoded))
            return encode(reply {errorOf(decoded), 0, {}, {}});
        return encode(applyCommand(data_, index, valueOf(decoded)));
    }

    consensus::byte_buffer snapshot() const override { return encodeSnapshot(data_); }

    status restore(consensus::byte_view bytes) override
    {
        auto decoded = decodeSnapshot(bytes);
        if (failed(decoded))
            return errorOf(decoded);
        data_ = std::move(valueOf(decoded));
        return {};
    }

    const tables &currentTables() const override { return data_.current; }

    std::vector<history_item> history() const override
    {
        return {data_.history.begin(), data_.history.end()};
    }

    std::optional<job_view> findJob(job_id id) const override
    {
        const auto *entry = data_.find(id);
        if (!entry)
            return std::nullopt;
        return toView(*entry);
    }

    const ledger_data &data() const override { return data_; }

private:
    ledger_data data_;
};

} // namespace

std::unique_ptr<ledger> ledger::create()
{
    return std::make_unique<replicated_ledger>();
}

} // namespace persimmon::control
