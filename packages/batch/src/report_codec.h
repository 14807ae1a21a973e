#pragma once

#include "batch/order_feed.h"
#include "batch/report_router.h"

#include <string>
#include <vector>

// Binary encoding of reports and orders, exchanged between nodes. The members that were added later
// follow the others: older nodes ignore them, and they are empty in messages of older nodes.
namespace persimmon::batch::detail {

// Reports that a node forwards to the leader. Without reports, the batch is a poll: it is answered
// once there are orders for answers that the node holds.
struct report_batch
{
    std::vector<worker_report> reports;
    std::string forwarder; // address of the node if it can hold answers, otherwise empty
    std::string zone; // availability zone of the node
};

// Answer to one report of a batch: either orders, or the code and the detail of an error.
struct batch_answer
{
    result_code code = result_code::Ok;
    std::string detail;
    worker_orders orders;
};

// Answers to a batch, in the order of its reports.
struct batch_answers
{
    std::string leaderAddress; // address of the leader for workers
    bool stayWithForwarder = false; // workers keep reporting to the forwarding node
    std::vector<batch_answer> answers;
    bool acceptsPolls = false; // the leader answers polls
    std::vector<std::int64_t> holdMs; // by report: time for which the answer may be held
    std::vector<released_answer> released; // orders for answers that the node holds
    std::vector<std::string> addresses; // by report: node for the next reports; empty: see above
};

std::string encodeReports(const report_batch &batch);
std::string encodeAnswers(const batch_answers &answers);

// Fail with MalformedRequest.
result<report_batch> decodeReports(const std::string &bytes);
result<batch_answers> decodeAnswers(const std::string &bytes);

} // namespace persimmon::batch::detail
