#pragma once

#include <string>
#include <vector>

namespace persimmon::apps {

// Text with aligned columns, for people.
class text_table
{
public:
    explicit text_table(std::vector<std::string> titles);

    // Adds a row; missing cells are empty, cells beyond the titles are dropped. Control characters
    // in cells are replaced, so that a name can't break the layout.
    void add(std::vector<std::string> cells);

    std::string toString() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace persimmon::apps
