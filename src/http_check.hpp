/** @file http_check.hpp Refuses what the parsing library lets through but peers may read in two
 * ways. */
#pragma once

#include "http_type.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Status that refuses a malformed message. */
inline constexpr int malformed_status = 400;
/** Status that refuses a head over its limit. */
inline constexpr int head_too_long_status = 431;
/** Status that refuses a version of HTTP other than 1.1. */
inline constexpr int version_status = 505;

/** The peer sent something that is not one well-formed message. */
class http_syntax_error : public std::runtime_error {
public:
    http_syntax_error(const std::string& what, int status)
        : std::runtime_error(what), status_(status)
    {
    }
    /** Status to refuse a request with: 400, 413, 431 or 505. */
    [[nodiscard]] int status() const noexcept { return status_; }

private:
    int status_;
};

/** Checks line ends over pieces of one message; each line must end with CR LF. */
class line_end_checker {
public:
    /** Checks raw bytes of a head, folded lines too. @throws http_syntax_error */
    void check_head(std::string_view data);
    /**
     * Checks the framing around chunks.
     * @param data raw bytes of a chunked body.
     * @param chunks the chunks' contents, as views into @p data in order.
     * @throws http_syntax_error
     */
    void check_chunks(std::string_view data, const std::vector<std::string_view>& chunks);

private:
    void check_line_end(char ch);

    bool previous_was_cr_ = false;
    bool at_line_start_ = false;
};

/** Checks a whole head. @throws http_syntax_error */
void check_head(const http_head& head, bool request);

} // namespace sniperock
