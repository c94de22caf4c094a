/** @file finding_type.hpp Faults found in input, each with its place, reported together. */
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace sniperock {

/** One fault in an input. */
struct finding {
    /** File name, or name of the list in an API call. */
    std::string source;
    /** Line from 1; 0 where the place is not a line. */
    int line = 0;
    /** Setting name or JSON pointer. */
    std::string place;
    /** What is wrong and what is allowed. */
    std::string message;
};

/** All faults of one input. */
using finding_list = std::vector<finding>;

/** One line of text: source:line: place: message. */
std::string to_text(const finding& item);
/** All findings, one per line. */
std::string to_text(const finding_list& items);

/** An input was refused; carries every finding. */
class invalid_input : public std::runtime_error {
public:
    explicit invalid_input(finding_list findings);
    /** What was wrong; never empty. */
    [[nodiscard]] const finding_list& findings() const noexcept { return findings_; }

private:
    finding_list findings_;
};

} // namespace sniperock
