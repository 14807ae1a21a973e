#include "batch/order_permits.h"

#include <algorithm>

namespace persimmon::batch {

namespace {

// Beyond it the subject of the oldest order is forgotten, and all permits issued before that order
// end.
constexpr std::size_t maxSubjects = 1000;

} // namespace

void order_permits::enterTerm(std::uint64_t term)
{
    if (term == term_)
        return;
    term_ = term;
    newest_ = 0;
    forgotten_ = 0;
    newestOf_.clear();
}

order_permit order_permits::issue(std::uint64_t term)
{
    enterTerm(term);
    return {term, newest_};
}

status order_permits::check(const order_permit &permit, std::uint64_t term,
                            const std::string &subject)
{
    enterTerm(term);
    const auto found = newestOf_.find(subject);
    const auto newest = found == newestOf_.end() ? forgotten_ : found->second;
    if (permit.term == term && permit.number >= newest)
        return std::monostate {};
    return error {result_code::VersionConflict, "a newer order was taken since", "permit", {}};
}

void order_permits::take(std::uint64_t term, const std::string &subject)
{
    enterTerm(term);
    newestOf_[subject] = ++newest_;
    if (newestOf_.size() <= maxSubjects)
        return;
    const auto oldest = std::ranges::min_element(
            newestOf_, {}, &std::pair<const std::string, std::uint64_t>::second);
    forgotten_ = oldest->second;
    newestOf_.erase(oldest);
}

} // namespace persimmon::batch
