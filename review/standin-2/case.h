#pragma once
// Frame of a case: `play` returns 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.

#include "consumer.h"
#include "fleet.h"
#include "net.h"
#include "record.h"
#include "system.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <iostream>

namespace standin {

inline int runCase(int count, char **words, const std::function<int(record &, bool trouble)> &play)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (count != 2) {
        std::cerr << "usage: case RECORD\n";
        return 2;
    }
    record log(words[1]);
    const char *trouble = std::getenv("TROUBLE");
    const bool disturbed = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    log.line(disturbed ? "with the disruption" : "without the disruption");
    int outcome = 2;
    try {
        outcome = play(log, disturbed);
    } catch (const std::exception &failure) {
        log.line(std::string("the case failed: ") + failure.what());
    }
    const char *text = outcome == 1 ? "the rule was broken"
            : outcome == 0          ? "the rule held"
                                    : "the case couldn't run";
    log.line(text);
    std::cout << text << "\n";
    return outcome;
}

} // namespace standin
