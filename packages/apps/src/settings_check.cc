#include "apps/settings_check.h"

#include <fstream>
#include <sstream>

namespace persimmon::apps {

result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    // Inserting an empty buffer sets failbit, so an empty file is checked for separately.
    if (file && (file.peek() == std::ifstream::traits_type::eof() || text << file.rdbuf()))
        return text.str();
    return error {result_code::StorageFailed, "can't read " + path, {}, {}};
}

result<settings> loadSettings(const std::string &file, instance_role role, std::ostream &output)
{
    const auto text = readFile(file);
    if (failed(text)) {
        output << errorOf(text).detail << "\n";
        return errorOf(text);
    }
    auto outcome = parseSettings(valueOf(text), role);
    for (const auto &mistake : outcome.mistakes)
        output << toText(mistake, file) << "\n";
    if (outcome.mistakes.empty())
        return std::move(outcome.values);
    return error {result_code::InvalidSettings,
                  std::to_string(outcome.mistakes.size()) + " mistakes in " + file,
                  {},
                  {}};
}

std::string settingsReferencePage()
{
    std::string page
            = "# Settings\n\n"
              "Settings are read from one INI file at the start of `persimmond`. Durations are in\n"
              "milliseconds, sizes in bytes. `persimmond --role=ROLE --check-settings FILE` lists\n"
              "every mistake of a file. This page is the output of\n"
              "`persimmond --print-settings-reference`.\n\n"
              "| section | key | allowed | default | meaning |\n"
              "| --- | --- | --- | --- | --- |\n";
    for (const auto &[section, key, allowed, defaultValue, text] : settingsReference()) {
        page += "| " + std::string(section) + " | " + std::string(key) + " | "
                + std::string(allowed) + " | "
                + (defaultValue.empty() ? "required" : std::string(defaultValue)) + " | "
                + std::string(text) + " |\n";
    }
    return page;
}

std::string resultCodesPage()
{
    std::string page
            = "# Result codes\n\n"
              "All programs use these numbered codes: in JSON bodies of refusals, in log\n"
              "lines and, through the exit code, in the command-line tools. The numbers\n"
              "never change meaning. A retryable call can succeed later without a change;\n"
              "its refusal has `retry_after_ms` and `Retry-After`.\n\n"
              "| number | name | HTTP status | exit code | retryable | meaning |\n"
              "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto &info : resultCodes()) {
        page += "| " + std::to_string(static_cast<int>(info.code)) + " | " + std::string(info.name)
                + " | " + std::to_string(info.httpStatus) + " | " + std::to_string(info.exitCode)
                + " | " + (info.retryable ? "yes" : "no") + " | " + std::string(info.text) + " |\n";
    }
    return page;
}

} // namespace persimmon::apps
