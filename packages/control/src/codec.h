#pragma once

#include "command.capnp.h"
#include "wire/convert.h"

#include "ledger_data.h"

#include <capnp/message.h>

// Helpers shared by the codecs of commands and snapshots.
namespace persimmon::control::detail {

namespace schema = wire::schema;

void write(schema::WorkerGrant::Builder target, const worker_grant &source);
void write(schema::TableChange::Builder target, const table_change &source);
void write(schema::IntentReply::Builder target, const intent_reply &source);
void write(schema::Reply::Builder target, const reply &source);

worker_grant read(schema::WorkerGrant::Reader source);
table_change read(schema::TableChange::Reader source);
intent_reply read(schema::IntentReply::Reader source);
reply read(schema::Reply::Reader source);

using wire::read;
using wire::readTexts;
using wire::write;
using wire::writeTexts;

template <typename ListBuilder, typename Items>
void writeList(ListBuilder list, const Items &items)
{
    unsigned position = 0;
    for (const auto &item : items)
        write(list[position++], item);
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

inline job_id toJob(std::uint64_t number)
{
    return static_cast<job_id>(number);
}

} // namespace persimmon::control::detail
