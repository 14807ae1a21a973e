#pragma once

#include "consensus/storage.h"

#include <functional>
#include <memory>

namespace persimmon::apps {

// Storage decorator that reports failed syncs. The node of the replicated log stops participating
// after such a failure until the process is restarted.
class watched_storage final : public consensus::storage
{
public:
    watched_storage(std::unique_ptr<consensus::storage> files,
                    std::function<void(const error &)> onFailure);

    result<consensus::stored_state> load() override;
    void saveVote(const consensus::vote_record &vote) override;
    void append(std::span<const consensus::log_entry> entries) override;
    void saveSnapshot(const consensus::snapshot_record &snapshot) override;
    void sync(std::function<void(status)> done) override;

private:
    std::unique_ptr<consensus::storage> files_;
    std::function<void(const error &)> onFailure_;
};

} // namespace persimmon::apps
