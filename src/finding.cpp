/** @file finding.cpp Formatting of findings. */
#include "finding_type.hpp"

#include <numeric>

namespace sniperock {

std::string to_text(const finding& item)
{
    std::string text = item.source;
    if (item.line > 0) {
        text += ":" + std::to_string(item.line);
    }
    if (!item.location.empty()) {
        text += ": " + item.location;
    }
    return text + ": " + item.message;
}

std::string to_text(const finding_list& items)
{
    return std::accumulate(items.begin(), items.end(), std::string{},
                           [](std::string text, const finding& item) {
                               return std::move(text) + to_text(item) + "\n";
                           });
}

invalid_input::invalid_input(finding_list findings)
    : std::runtime_error(to_text(findings)), findings_(std::move(findings))
{
}

} // namespace sniperock
