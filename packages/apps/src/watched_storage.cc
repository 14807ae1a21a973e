#include "apps/watched_storage.h"

namespace persimmon::apps {

watched_storage::watched_storage(std::unique_ptr<consensus::storage> files,
                                 std::function<void(const error &)> onFailure)
    : files_(std::move(files))
    , onFailure_(std::move(onFailure))
{
}

result<consensus::stored_state> watched_storage::load()
{
    return files_->load();
}

void watched_storage::saveVote(const consensus::vote_record &vote)
{
    files_->saveVote(vote);
}

void watched_storage::append(std::span<const consensus::log_entry> entries)
{
    files_->append(entries);
}

void watched_storage::saveSnapshot(const consensus::snapshot_record &snapshot)
{
    files_->saveSnapshot(snapshot);
}

void watched_storage::sync(std::function<void(status)> done)
{
    files_->sync([done = std::move(done), onFailure = onFailure_](const status &outcome) {
        done(outcome);
        if (failed(outcome))
            onFailure(errorOf(outcome));
    });
}

} // namespace persimmon::apps
