/** @file explain.hpp Tells the story of one request from the logs of several VMs. */
#pragma once

#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** One line of a log as its fields. */
using log_fields = std::map<std::string, std::string, std::less<>>;

/** Reads the fields of a line; text before the first field is left out. */
log_fields parse_log_line(std::string_view line);

/** Lines about one request, and how it ended, in order of time. */
class request_story {
public:
    explicit request_story(std::string id) : id_(std::move(id)) {}

    /** Takes the lines about the request out of a log. */
    void read(std::istream& log);
    /** The story in plain sentences; says so if no line was found. */
    [[nodiscard]] std::string text() const;

private:
    std::string id_;
    std::vector<log_fields> lines_;
};

} // namespace sniperock
