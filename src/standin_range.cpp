/** @file standin_range.cpp Byte ranges of a stand-in server's large bodies. */
#include "standin_range.hpp"
#include "standin_control.hpp"

#include <charconv>

namespace sniperock {
namespace {

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/** A single range as in bytes=FIRST-LAST, bytes=FIRST- or bytes=-SUFFIX. */
struct range_spec {
    std::optional<std::uint64_t> first;
    std::optional<std::uint64_t> last;
};

std::optional<range_spec> parse_range(std::string_view text)
{
    constexpr std::string_view unit = "bytes=";
    const auto dash = text.find('-');
    if (!text.starts_with(unit) || dash == std::string_view::npos) {
        return std::nullopt;
    }
    range_spec spec{parse_number(text.substr(unit.size(), dash - unit.size())),
                    parse_number(text.substr(dash + 1))};
    const bool open_end = dash + 1 == text.size();
    if ((!spec.first && !spec.last) || (spec.first && !spec.last && !open_end)) {
        return std::nullopt;
    }
    return spec;
}

} // namespace

std::optional<std::uint64_t> size_in_target(std::string_view target)
{
    const auto path = target.substr(0, target.find('?'));
    return parse_number(path.substr(std::string_view{server_path::bytes}.size()));
}

std::string entity_tag(std::uint64_t size)
{
    return "\"bytes-" + std::to_string(size) + "\"";
}

std::optional<byte_range> choose_range(const http_headers& headers, std::uint64_t size)
{
    const byte_range whole{0, size, false};
    const auto header = headers.find("Range");
    const auto condition = headers.find("If-Range");
    if (!header || (condition && *condition != entity_tag(size))) {
        return whole;
    }
    const auto spec = parse_range(*header);
    if (!spec) {
        return whole;
    }
    if (!spec->first) {
        const auto suffix = std::min(*spec->last, size);
        return suffix == 0 ? std::nullopt : std::optional{byte_range{size - suffix, suffix, true}};
    }
    if (*spec->first >= size || (spec->last && *spec->last < *spec->first)) {
        return std::nullopt;
    }
    const auto last = std::min(spec->last.value_or(size - 1), size - 1);
    return byte_range{*spec->first, last - *spec->first + 1, true};
}

} // namespace sniperock
