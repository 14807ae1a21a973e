#pragma once

#include "base/sync.h"
#include "control.capnp.h"

#include <capnp/message.h>

#include <cstddef>
#include <span>
#include <vector>

// Conversions between the shared structures and their Cap'n Proto form. read() never fails: an
// enumerator out of range keeps its number, and toName() returns "invalid" for it.
namespace persimmon::wire {

void write(schema::Guarantee::Builder target, const guarantee &source);
void write(schema::Route::Builder target, const route &source);
void write(schema::Pool::Builder target, const pool &source);
void write(schema::Workspace::Builder target, const workspace &source);
void write(schema::PoolDemand::Builder target, const pool_demand &source);
void write(schema::SlotShare::Builder target, const slot_share &source);
void write(schema::UpstreamOrders::Builder target, const upstream_orders &source);
void write(schema::Location::Builder target, const location &source);
void write(schema::Resources::Builder target, const resources &source);
void write(schema::Tables::Builder target, const tables &source);
void write(schema::Announcement::Builder target, const announcement &source);
void write(schema::TaskRef::Builder target, const task_ref &source);
void write(schema::TaskReport::Builder target, const task_report &source);
void write(schema::TaskOrder::Builder target, const task_order &source);
void write(schema::JobSpec::Builder target, const job_spec &source);
void write(schema::DecisionRecord::Builder target, const decision_record &source);
void write(schema::Answer::Builder target, const answer &source);
void write(schema::Error::Builder target, const error &source);
void write(schema::SyncRequest::Builder target, const sync_request &source);
void write(schema::SyncResponse::Builder target, const sync_response &source);
void write(schema::JobView::Builder target, const job_view &source);

guarantee read(schema::Guarantee::Reader source);
route read(schema::Route::Reader source);
pool read(schema::Pool::Reader source);
workspace read(schema::Workspace::Reader source);
pool_demand read(schema::PoolDemand::Reader source);
slot_share read(schema::SlotShare::Reader source);
upstream_orders read(schema::UpstreamOrders::Reader source);
location read(schema::Location::Reader source);
resources read(schema::Resources::Reader source);
tables read(schema::Tables::Reader source);
announcement read(schema::Announcement::Reader source);
task_ref read(schema::TaskRef::Reader source);
task_report read(schema::TaskReport::Reader source);
task_order read(schema::TaskOrder::Reader source);
job_spec read(schema::JobSpec::Reader source);
decision_record read(schema::DecisionRecord::Reader source);
answer read(schema::Answer::Reader source);
error read(schema::Error::Reader source);
sync_request read(schema::SyncRequest::Reader source);
sync_response read(schema::SyncResponse::Reader source);
job_view read(schema::JobView::Reader source);

// Returns the text of a reader; embedded zero bytes are kept.
std::string toString(capnp::Text::Reader text);

// Returns a reader over a text without copying it. The text must outlive the reader.
capnp::Text::Reader toText(const std::string &text);

// Writes texts to a list, which must have been created with their number.
void writeTexts(capnp::List<capnp::Text>::Builder list, std::span<const std::string> texts);

std::vector<std::string> readTexts(capnp::List<capnp::Text>::Reader list);

// Returns the bytes of a message in Cap'n Proto's flat format.
std::vector<std::byte> toBytes(capnp::MessageBuilder &message);

// Calls the visitor with the root of a flat message. Fails with CorruptFile when the bytes are not
// a message of this type.
template <typename Schema, typename Visitor>
status visitBytes(std::span<const std::byte> bytes, Visitor visitor);

} // namespace persimmon::wire

#include "wire/detail/visit_bytes.h"
