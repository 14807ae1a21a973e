#pragma once

#include <string>
#include <vector>

namespace persimmon::apps {

// Plain-text table with aligned columns.
class text_table
{
public:
    explicit text_table(std::vector<std::string> titles);

    // Adds a row. Missing cells are empty and cells beyond the titles are dropped. Control
    // characters are replaced by spaces, so that a name can't break the layout.
    void add(std::vector<std::string> cells);

    std::string toString() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace persimmon::apps
