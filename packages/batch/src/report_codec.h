#pragma once

#include "batch/report_router.h"

#include <string>
#include <vector>

// Binary encoding of reports and orders, exchanged between nodes of the same version.
namespace persimmon::batch::detail {

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
};

std::string encodeReports(const std::vector<worker_report> &reports);
std::string encodeAnswers(const batch_answers &answers);

// Fail with MalformedRequest.
result<std::vector<worker_report>> decodeReports(const std::string &bytes);
result<batch_answers> decodeAnswers(const std::string &bytes);

} // namespace persimmon::batch::detail
