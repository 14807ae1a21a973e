#include "apps/ctl_commands.h"

#include "apps/ctl_views.h"
#include "apps/settings_check.h"
#include "base/tables.h"

#include <array>
#include <random>
#include <thread>

namespace persimmon::apps {

namespace {

using std::chrono::steady_clock;

constexpr milliseconds rolloutPoll {100};
constexpr milliseconds watchPeriod {1000};
constexpr milliseconds voterTimeout {1000};
constexpr milliseconds voterChangeTimeout {5000};

class command_run
{
public:
    command_run(const ctl_arguments &arguments, operator_client &client, std::ostream &output,
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
        const auto &file = arguments_.words[0];
        const auto text = readFile(file);
        if (failed(text))
            return fail(errorOf(text));
        const auto parsed = parseTables(valueOf(text));
        if (!parsed.mistakes.empty()) {
            for (const auto &mistake : parsed.mistakes)
                errors_ << toText(mistake, file) << "\n";
            return describe(result_code::InvalidTable).exitCode;
        }
        auto version = expectedVersion();
        if (failed(version))
            return fail(errorOf(version));
        return send(valueOf(text), valueOf(version));
    }

    int get()
    {
        const auto answer = ask({"GET", arguments_.json ? "/v1/tables?format=json" : "/v1/tables"});
        if (failed(answer))
            return fail(errorOf(answer));
        if (!arguments_.json)
            output_ << "; version " << valueOf(answer).version << "\n";
        output_ << valueOf(answer).body << (arguments_.json ? "\n" : "");
        return 0;
    }

    int history() { return show("/v1/history", historyText); }

    int explain() { return show("/v1/explain/" + arguments_.words[0], explainText); }

    // Shows every voter's own state first, so that a lost quorum can be seen.
    int status()
    {
        if (!arguments_.json)
            output_ << votersText(askVoters()) << "\n";
        return show("/v1/status", statusText);
    }

    int drain()
    {
        const operator_call call {"POST", "/v1/drain/" + arguments_.words[0]};
        const auto answer = ask(call);
        if (failed(answer))
            return fail(errorOf(answer));
        if (arguments_.json)
            output_ << valueOf(answer).body << "\n";
        else
            output_ << arguments_.words[0] << " was asked to shut down\n";
        return 0;
    }

    // Adding takes as long as the new voter needs to catch up; the leader gives up after ten
    // election time-outs.
    int voters()
    {
        const auto body
                = R"({"action":")" + arguments_.words[0] + R"(","id":)" + arguments_.words[1] + "}";
        const auto answer = ask({"POST", "/v1/voters", {}, body, voterChangeTimeout, true});
        if (failed(answer))
            return fail(errorOf(answer));
        if (arguments_.json)
            output_ << valueOf(answer).body << "\n";
        else
            output_ << "voter " << arguments_.words[1] << ": "
                    << (arguments_.words[0] == "add" ? "added" : "removed") << "\n";
        return 0;
    }

    int watch()
    {
        std::string last;
        for (std::uint32_t round = 1;; ++round) {
            started_ = steady_clock::now();
            const auto answer = ask({"GET", "/v1/status"});
            const auto line = watchLine(answer);
            if (line != last)
                output_ << line << std::flush;
            last = line;
            if (arguments_.rounds != 0 && round >= arguments_.rounds)
                return failed(answer) ? describe(errorOf(answer).code).exitCode : 0;
            std::this_thread::sleep_for(watchPeriod);
        }
    }

private:
    milliseconds timeSpent() const
    {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() - started_);
    }

    milliseconds timeLeft() const
    {
        return std::max(arguments_.timeout - timeSpent(), milliseconds {1});
    }

    // Calls the leader; a refusal becomes an error.
    result<operator_answer> ask(const operator_call &call)
    {
        auto answer = client_.callLeader(call, timeLeft());
        if (!failed(answer) && valueOf(answer).status >= 400)
            return readRefusal(valueOf(answer));
        return answer;
    }

    int fail(const error &reason)
    {
        const auto &info = describe(reason.code);
        errors_ << "persimmonctl: " << info.name << ": "
                << (reason.field.empty() ? "" : reason.field + ": ")
                << (reason.detail.empty() ? std::string(info.text) : reason.detail) << "\n";
        return info.exitCode;
    }

    int show(const std::string &path, result<std::string> (*toText)(const std::string &))
    {
        const auto answer = ask({"GET", path});
        if (failed(answer))
            return fail(errorOf(answer));
        if (arguments_.json) {
            output_ << valueOf(answer).body << "\n";
            return 0;
        }
        const auto text = toText(valueOf(answer).body);
        if (failed(text))
            return fail(errorOf(text));
        output_ << valueOf(text);
        return 0;
    }

    std::vector<voter_row> askVoters()
    {
        std::vector<voter_row> rows;
        for (const auto &address : arguments_.control) {
            const auto answer = client_.ask(address, {"GET", "/v1/voter"},
                                            std::min(voterTimeout, timeLeft()));
            if (failed(answer))
                rows.push_back({address, {}, errorOf(answer).detail});
            else
                rows.push_back({address, valueOf(answer).body, "no voter answers"});
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
        const auto current = ask({"GET", "/v1/tables"});
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

    // Resends with the same change id, so that a change whose answer was lost is not made twice.
    int send(const std::string &text, std::uint64_t version)
    {
        const auto id = changeId();
        const operator_call call {"PUT",
                                  arguments_.dryRun ? "/v1/tables?dry_run=1" : "/v1/tables",
                                  {{"If-Match", std::to_string(version)}, {"Change-Id", id}},
                                  text};
        const auto answer = ask(call);
        if (failed(answer)) {
            const auto code = fail(errorOf(answer));
            if (describe(errorOf(answer).code).retryable)
                errors_ << "persimmonctl: the change may be accepted later; repeat with "
                           "--change-id "
                        << id << " --expect-version " << version << "\n";
            return code;
        }
        return report(valueOf(answer).body, id);
    }

    int report(const std::string &body, const std::string &id)
    {
        const auto change = readChange(body);
        if (failed(change))
            return fail(errorOf(change));
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
            return fail(errorOf(rollout));
        const auto &shown = valueOf(rollout);
        const auto took = timeSpent().count();
        if (arguments_.json)
            output_ << applyReportJson({body, id, shown.complete, shown.entriesJson, took});
        else
            output_ << shown.table;
        if (!shown.complete)
            return fail({result_code::Timeout,
                         "version " + std::to_string(version)
                                 + " is accepted but not in force everywhere yet",
                         {},
                         {}});
        if (!arguments_.json)
            output_ << "in force on " << shown.serving << " entries after " << took << " ms\n";
        return 0;
    }

    result<rollout_view> waitForRollout(std::uint64_t version)
    {
        while (true) {
            const auto answer = ask({"GET", "/v1/status"});
            if (failed(answer))
                return errorOf(answer);
            auto shown = readRollout(valueOf(answer).body, version);
            if (failed(shown))
                return shown;
            if (valueOf(shown).complete || timeSpent() >= arguments_.timeout)
                return shown;
            std::this_thread::sleep_for(rolloutPoll);
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
    int (command_run::*run)();
};

constexpr std::array<command, 8> commands {{
        {"apply", &command_run::apply},
        {"get", &command_run::get},
        {"history", &command_run::history},
        {"status", &command_run::status},
        {"explain", &command_run::explain},
        {"drain", &command_run::drain},
        {"watch", &command_run::watch},
        {"voters", &command_run::voters},
}};

} // namespace

int runCommand(const ctl_arguments &arguments, operator_client &client, std::ostream &output,
               std::ostream &errors)
{
    for (const auto &item : commands) {
        if (item.name == arguments.command) {
            command_run run(arguments, client, output, errors);
            return (run.*item.run)();
        }
    }
    errors << "persimmonctl: unknown command " << arguments.command << "\n";
    return describe(result_code::UsageError).exitCode;
}

} // namespace persimmon::apps
