/** @file edge_relay.hpp Composes what goes to the caller, and checks that a resumed download fits.
 */
#pragma once

#include "http_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sniperock {

/** The bytes that a 206 answer holds. */
struct content_range {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t total = 0;
};

/** Parses "bytes 0-9/10"; empty if it is anything else. */
std::optional<content_range> parse_content_range(std::string_view text);

/**
 * Remembers of an answer under way what is needed to frame its body and to go on with it from
 * another server.
 */
class answer_relay {
public:
    /** Appends the answer's head as the caller gets it. @param close the connection ends after it.
     */
    void begin(std::string& out, const http_head& request, const http_head& answer, bool close);
    /** True if an answer of another server can continue this one. */
    [[nodiscard]] bool resumable() const { return resumable_; }
    /** Appends headers that ask for the rest. */
    void append_range_headers(std::string& out) const;
    /** True if @p answer is exactly the rest. */
    [[nodiscard]] bool fits(const http_head& answer) const;
    /** Counts body bytes that went to the caller. */
    void passed(std::size_t size) { passed_ += size; }
    [[nodiscard]] bool chunked() const { return framing_ == body_framing::chunked; }
    /** Forgets everything. */
    void clear() { *this = {}; }

private:
    body_framing framing_ = body_framing::none;
    bool resumable_ = false;
    std::string etag_;
    std::uint64_t passed_ = 0;
    /** Length of the whole body, if the first answer told it. */
    std::optional<std::uint64_t> total_;
};

/** Appends the head of a request as a server gets it, up to its framing. */
void append_server_request(std::string& out, const http_head& request, bool resumed);

} // namespace sniperock
