/** @file standin_range.hpp Byte ranges of a stand-in server's large bodies. */
#pragma once

#include "http_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sniperock {

/** Which part of a body is asked for. */
struct byte_range {
    std::uint64_t first = 0;
    /** Bytes from first. */
    std::uint64_t size = 0;
    /** The answer is 206 with a Content-Range. */
    bool partial = false;
};

/** The size in a target /bytes/N; empty if it is no number. */
std::optional<std::uint64_t> size_in_target(std::string_view target);
/** The entity tag of the body of @p size bytes. */
std::string entity_tag(std::uint64_t size);
/** The range that @p headers ask of a body of @p size bytes; empty if none of it exists. */
std::optional<byte_range> choose_range(const http_headers& headers, std::uint64_t size);

} // namespace sniperock
