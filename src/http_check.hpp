/** @file http_check.hpp Rejects messages that the parsing library accepts but peers may interpret
 * differently. */
#pragma once

#include "http_type.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Response status for a malformed message. */
inline constexpr int malformed_status = 400;
/** Response status for a head that exceeds a size limit. */
inline constexpr int head_too_long_status = 431;
/** Response status for an HTTP version other than 1.1. */
inline constexpr int unsupported_version_status = 505;

/** The peer sent bytes that are not a well-formed message. */
class http_syntax_error : public std::runtime_error {
public:
    http_syntax_error(const std::string& what, int status)
        : std::runtime_error(what), status_(status)
    {
    }
    /** Response status for the rejected request: 400, 413, 431 or 505. */
    [[nodiscard]] int status() const noexcept { return status_; }

private:
    int status_;
};

/** Checks across the reads of one message that each line ends with CR LF, and that the lines around
 * chunks are well-formed. */
class line_end_checker {
public:
    /** Checks raw bytes of a head; also rejects folded lines and control characters.
     * @throws http_syntax_error */
    void check_head(std::string_view data);
    /**
     * Checks the framing around chunks.
     * @param data raw bytes of a chunked body.
     * @param chunks contents of the chunks in order, as views into @p data.
     * @throws http_syntax_error
     */
    void check_chunks(std::string_view data, const std::vector<std::string_view>& chunks);

private:
    /** What the next byte around the chunks belongs to. */
    enum class chunk_part {
        size_start,
        size,
        /** Blanks behind the size; only an extension may follow. */
        size_padding,
        extension,
        /** The line end behind the content of a chunk. */
        content_end,
        trailer_start,
        trailer_name,
        trailer_value,
    };

    void check_line_end(char ch);
    void check_chunk_byte(char ch);
    [[nodiscard]] chunk_part part_after(char ch);

    bool previous_was_cr_ = false;
    bool at_line_start_ = false;
    chunk_part chunk_part_ = chunk_part::size_start;
    /** The chunk whose size was read is the last one, which has no content. */
    bool last_chunk_ = true;
};

/** Checks version and status in the raw bytes of a response; the library accepts other names of the
 * protocol, and codes of other lengths. @param offset position of @p data in the head.
 * @throws http_syntax_error */
void check_status_line(std::string_view data, std::size_t offset);

/** Checks a complete head. @throws http_syntax_error */
void check_head(const http_head& head, bool is_request);

} // namespace sniperock
