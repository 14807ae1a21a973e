#include "apps/ctl_commands.h"

#include "apps/ctl_views.h"
#include "apps/latency_view.h"
#include "apps/settings_check.h"
#include "base/tables.h"

#include <array>
#include <random>
#include <thread>

namespace persimmon::apps {

namespace {

using std::chrono::steady_clock;

constexpr milliseconds rolloutPollInterval {100};
constexpr milliseconds watchInterval {1000};
constexpr milliseconds voterTimeout {1000};
constexpr milliseconds voterChangeTimeout {5000};

class command_runner
{
public:
    command_runner(const ctl_arguments &arguments, operator_client &client, std::ostream &output,
                   std::ostream &errors)
        : arguments_(arguments)
        , client_(client)
        , output_(output)
        , errors_(errors)
        , started_(steady_clock::now())
    {
    }

    int apply()
    {
        const auto &file = arguments_.operands[0];
        const auto text = readFile(file);
        if (failed(text))
            return reportError(errorOf(text));
        const auto parsed = parseTables(valueOf(text));
        if (!parsed.errors.empty()) {
            for (const auto &found : parsed.errors)
                errors_ << toText(found, file) << "\n";
            return describe(result_code::InvalidTable).exitCode;
        }
        auto version = expectedVersion();
        if (failed(version))
            return reportError(errorOf(version));
        return sendTables(valueOf(text), valueOf(version));
    }

    int get()
    {
        const auto answer
                = sendRequest({"GET", arguments_.json ? "/v1/tables?format=json" : "/v1/tables"});
        if (failed(answer))
            return reportError(errorOf(answer));
        if (!arguments_.json)
            output_ << "; version " << valueOf(answer).version << "\n";
        output_ << valueOf(answer).body << (arguments_.json ? "\n" : "");
        return 0;
    }

    int history() { return show("/v1/history", historyText); }

    int explain() { return show("/v1/explain/" + arguments_.operands[0], explainText); }

    // Shows the state reported by each voter first, so that a loss of quorum is visible.
    int status()
    {
        if (!arguments_.json)
            output_ << votersText(queryVoters()) << "\n";
        return show("/v1/status", statusText);
    }

    // Each node is asked: the leader places and orders, every node answers heartbeats.
    int latency()
    {
        bool answered = false;
        for (const auto &address : arguments_.control) {
            const auto answer = client_.callVoter(address, {"GET", "/metrics"},
                                                  std::min(voterTimeout, remainingTime()));
            if (failed(answer)) {
                errors_ << "persimmonctl: " << address << ": " << errorOf(answer).detail << "\n";
                continue;
            }
            answered = true;
            output_ << latencyText(address, readLatencies(valueOf(answer).body));
        }
        return answered ? 0 : describe(result_code::RpcFailed).exitCode;
    }

    int drain()
    {
        const operator_call call {"POST", "/v1/drain/" + arguments_.operands[0]};
        const auto answer = sendRequest(call);
        if (failed(answer))
            return reportError(errorOf(answer));
        if (arguments_.json)
            output_ << valueOf(answer).body << "\n";
        else
            output_ << arguments_.operands[0] << ": shutdown requested\n";
        return 0;
    }

    // Adding a voter completes once it has caught up with the log; the leader gives up after ten
    // election time-outs.
    int voters()
    {
        const auto body = R"({"action":")" + arguments_.operands[0] + R"(","id":)"
                + arguments_.operands[1] + "}";
        const auto answer = sendRequest({"POST", "/v1/voters", {}, body, voterChangeTimeout, true});
        if (failed(answer))
            return reportError(errorOf(answer));
        if (arguments_.json)
            output_ << valueOf(answer).body << "\n";
        else
            output_ << "voter " << arguments_.operands[1] << ": "
                    << (arguments_.operands[0] == "add" ? "added" : "removed") << "\n";
        return 0;
    }

    int evacuate() { return orderZone("POST", "evacuated"); }

    int restore() { return orderZone("DELETE", "open"); }

    int zones() { return show("/v1/evacuations", zonesText); }

    int watch()
    {
        std::string lastLine;
        for (std::uint32_t round = 1;; ++round) {
            started_ = steady_clock::now();
            const auto answer = sendRequest({"GET", "/v1/status"});
            const auto line = watchLine(answer);
            if (line != lastLine)
                output_ << line << std::flush;
            lastLine = line;
            if (arguments_.rounds != 0 && round >= arguments_.rounds)
                return failed(answer) ? describe(errorOf(answer).code).exitCode : 0;
            std::this_thread::sleep_for(watchInterval);
        }
    }

private:
    milliseconds elapsedTime() const
    {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_);
    }

    milliseconds remainingTime() const
    {
        return std::max(arguments_.timeout - elapsedTime(), milliseconds {1});
    }

    // Sends a request to the leader; an error response is returned as an error.
    result<operator_answer> sendRequest(const operator_call &call)
    {
        auto answer = client_.callLeader(call, remainingTime());
        if (!failed(answer) && valueOf(answer).status >= 400)
            return readRefusal(valueOf(answer));
        return answer;
    }

    int reportError(const error &reason)
    {
        const auto &info = describe(reason.code);
        errors_ << "persimmonctl: " << info.name << ": "
                << (reason.field.empty() ? "" : reason.field + ": ")
                << (reason.detail.empty() ? std::string(info.text) : reason.detail) << "\n";
        return info.exitCode;
    }

    // The order may be sent again, as long as no contrary one was given.
    int orderZone(const std::string &method, std::string_view state)
    {
        const auto &zone = arguments_.operands[0];
        const auto answer = sendRequest({method, "/v1/evacuations/" + zone});
        if (failed(answer)) {
            const auto code = reportError(errorOf(answer));
            const auto reason = errorOf(answer).code;
            if (reason == result_code::OutcomeUnknown || describe(reason).retryable)
                errors_ << "persimmonctl: the order may still be obeyed; repeat it\n";
            return code;
        }
        if (arguments_.json)
            output_ << valueOf(answer).body << "\n";
        else
            output_ << "zone " << zone << ": " << state << "\n";
        return 0;
    }

    int show(const std::string &path, result<std::string> (*toText)(const std::string &))
    {
        const auto answer = sendRequest({"GET", path});
        if (failed(answer))
            return reportError(errorOf(answer));
        if (arguments_.json) {
            output_ << valueOf(answer).body << "\n";
            return 0;
        }
        const auto text = toText(valueOf(answer).body);
        if (failed(text))
            return reportError(errorOf(text));
        output_ << valueOf(text);
        return 0;
    }

    std::vector<voter_row> queryVoters()
    {
        std::vector<voter_row> rows;
        for (const auto &address : arguments_.control) {
            const auto answer = client_.callVoter(address, {"GET", "/v1/voter"},
                                                  std::min(voterTimeout, remainingTime()));
            if (failed(answer))
                rows.push_back({address, {}, errorOf(answer).detail});
            else
                rows.push_back({address, valueOf(answer).body,
                                "not a voter, or an unexpected response format"});
        }
        return rows;
    }

    std::string watchLine(const result<operator_answer> &answer) const
    {
        if (failed(answer))
            return std::string(describe(errorOf(answer).code).name) + ": " + errorOf(answer).detail
                    + "\n";
        if (arguments_.json)
            return valueOf(answer).body + "\n";
        const auto text = watchText(valueOf(answer).body);
        return failed(text) ? errorOf(text).detail + "\n" : valueOf(text);
    }

    result<std::uint64_t> expectedVersion()
    {
        if (arguments_.expectedVersion)
            return *arguments_.expectedVersion;
        const auto current = sendRequest({"GET", "/v1/tables"});
        if (failed(current))
            return errorOf(current);
        return parseNumber(valueOf(current).version, 0, UINT64_MAX);
    }

    std::string changeId() const
    {
        if (!arguments_.changeId.empty())
            return arguments_.changeId;
        std::random_device source;
        std::string id = "ctl-";
        for (int i = 0; i < 16; ++i)
            id += "0123456789abcdef"[source() % 16];
        return id;
    }

    // Resends use the same change id, so that a change is not applied twice if a response is lost.
    int sendTables(const std::string &text, std::uint64_t version)
    {
        const auto id = changeId();
        const operator_call call {"PUT",
                                  arguments_.dryRun ? "/v1/tables?dry_run=1" : "/v1/tables",
                                  {{"If-Match", std::to_string(version)}, {"Change-Id", id}},
                                  text};
        const auto answer = sendRequest(call);
        if (failed(answer)) {
            const auto code = reportError(errorOf(answer));
            if (describe(errorOf(answer).code).retryable)
                errors_ << "persimmonctl: the change may still be accepted; retry with "
                           "--change-id "
                        << id << " --expect-version " << version << "\n";
            return code;
        }
        return reportChange(valueOf(answer).body, id);
    }

    int reportChange(const std::string &body, const std::string &id)
    {
        const auto change = readChange(body);
        if (failed(change))
            return reportError(errorOf(change));
        const auto &[version, rows] = valueOf(change);
        if (arguments_.dryRun) {
            output_ << (arguments_.json ? body : "would change:" + rows) << "\n";
            return 0;
        }
        if (!arguments_.json)
            output_ << "version " << version << " accepted (change id " << id << "):" << rows
                    << "\n";
        const auto rollout = waitForRollout(version);
        if (failed(rollout))
            return reportError(errorOf(rollout));
        const auto &view = valueOf(rollout);
        const auto elapsedMs = elapsedTime().count();
        if (arguments_.json)
            output_ << applyReportJson({body, id, view.complete, view.entriesJson, elapsedMs});
        else
            output_ << view.table;
        if (!view.complete)
            return reportError({result_code::Timeout,
                                "version " + std::to_string(version)
                                        + " is accepted but not in force everywhere yet",
                                {},
                                {}});
        if (!arguments_.json)
            output_ << "in force on " << view.serving << " entries after " << elapsedMs << " ms\n";
        return 0;
    }

    result<rollout_view> waitForRollout(std::uint64_t version)
    {
        while (true) {
            const auto answer = sendRequest({"GET", "/v1/status"});
            if (failed(answer))
                return errorOf(answer);
            auto view = readRollout(valueOf(answer).body, version);
            if (failed(view))
                return view;
            if (valueOf(view).complete || elapsedTime() >= arguments_.timeout)
                return view;
            std::this_thread::sleep_for(rolloutPollInterval);
        }
    }

    const ctl_arguments &arguments_;
    operator_client &client_;
    std::ostream &output_;
    std::ostream &errors_;
    steady_clock::time_point started_;
};

struct command
{
    std::string_view name;
    int (command_runner::*run)();
};

constexpr std::array<command, 12> commands {{
        {"apply", &command_runner::apply},
        {"get", &command_runner::get},
        {"history", &command_runner::history},
        {"status", &command_runner::status},
        {"explain", &command_runner::explain},
        {"latency", &command_runner::latency},
        {"drain", &command_runner::drain},
        {"watch", &command_runner::watch},
        {"voters", &command_runner::voters},
        {"evacuate", &command_runner::evacuate},
        {"restore", &command_runner::restore},
        {"zones", &command_runner::zones},
}};

} // namespace

int runCommand(const ctl_arguments &arguments, operator_client &client, std::ostream &output,
               std::ostream &errors)
{
    for (const auto &item : commands) {
        if (item.name == arguments.command) {
            command_runner run(arguments, client, output, errors);
            return (run.*item.run)();
        }
    }
    errors << "persimmonctl: unknown command " << arguments.command << "\n";
    return describe(result_code::UsageError).exitCode;
}

} // namespace persimmon::apps
