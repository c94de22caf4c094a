/** @file explain.hpp Reconstructs the course of one request from the logs of several VMs. */
#pragma once

#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** The fields of one log line, by name. */
using log_fields = std::map<std::string, std::string, std::less<>>;

/** Parses the fields of a line; text before the first field is ignored. */
log_fields parse_log_line(std::string_view line);

/** The log lines about one request, ordered by time. */
class request_trace {
public:
    explicit request_trace(std::string id) : id_(std::move(id)) {}

    /** Adds the lines about the request from a log. */
    void read(std::istream& log);
    /** The course of the request as text; states that no line was found, if so. */
    [[nodiscard]] std::string text() const;

private:
    /** The last line of the same VM about a roll-out of the line's service before it; null if there
     * is none. */
    [[nodiscard]] const log_fields* rollout_before(const log_fields& line) const;

    std::string id_;
    std::vector<log_fields> lines_;
    /** Lines about roll-outs, ordered by time. */
    std::vector<log_fields> rollouts_;
};

} // namespace sniperock
