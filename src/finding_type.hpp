/** @file finding_type.hpp Errors found in input, each with its location, reported together. */
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace sniperock {

/** One error in an input. */
struct finding {
    /** File name, or name of the list in an API call. */
    std::string source;
    /** Line number from 1; 0 if the location is not a line. */
    int line = 0;
    /** Setting name or JSON pointer. */
    std::string location;
    /** What is wrong and what is allowed. */
    std::string message;
};

/** All errors in one input. */
using finding_list = std::vector<finding>;

/** Formats a finding as one line: source:line: location: message. */
std::string to_text(const finding& item);
/** Formats all findings, one per line. */
std::string to_text(const finding_list& items);

/** An input was rejected; contains all findings. */
class invalid_input : public std::runtime_error {
public:
    explicit invalid_input(finding_list findings);
    /** All errors of the input; never empty. */
    [[nodiscard]] const finding_list& findings() const noexcept { return findings_; }

private:
    finding_list findings_;
};

} // namespace sniperock
