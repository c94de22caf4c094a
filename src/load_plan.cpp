/** @file load_plan.cpp Reads streams of calls from the command line or a JSON document. */
#include "finding_type.hpp"
#include "load_func.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <functional>
#include <map>
#include <sstream>

namespace sniperock {
namespace {

using nlohmann::json;
/** Takes a value over; false if it is malformed. */
using word_reader = std::function<bool(load_stream&, const std::string&)>;

template <typename Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < Number{}) {
        return std::nullopt;
    }
    return value;
}

word_reader text(std::string load_stream::*field)
{
    return [field](load_stream& stream, const std::string& value) {
        stream.*field = value;
        return !value.empty();
    };
}

bool read_rate(load_stream& stream, const std::string& value)
{
    const auto number = parse_number<double>(value);
    stream.rate = number.value_or(0);
    return number.has_value();
}

bool read_body(load_stream& stream, const std::string& value)
{
    const auto number = parse_number<std::size_t>(value);
    stream.body_bytes = number.value_or(0);
    return number.has_value();
}

bool read_shape(load_stream& stream, const std::string& value)
{
    const auto shape = from_name<arrival_shape>(value);
    stream.shape = shape.value_or(arrival_shape::poisson);
    return shape.has_value();
}

bool read_idempotency(load_stream& stream, const std::string& value)
{
    stream.idempotency_key = value == "yes";
    return value == "yes" || value == "no";
}

/** Reads AT_MS:FACTOR[,AT_MS:FACTOR...] in order of time. */
bool read_steps(load_stream& stream, const std::string& value)
{
    std::istringstream parts(value);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto colon = part.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const auto at = parse_number<std::uint32_t>(std::string_view{part}.substr(0, colon));
        const auto factor = parse_number<double>(std::string_view{part}.substr(colon + 1));
        if (!at || !factor ||
            (!stream.steps.empty() && stream.steps.back().at >= milliseconds{*at})) {
            return false;
        }
        stream.steps.push_back({milliseconds{*at}, *factor});
    }
    return !stream.steps.empty();
}

const std::map<std::string, word_reader>& word_readers()
{
    static const std::map<std::string, word_reader> readers{
        {"plan", text(&load_stream::plan)},
        {"key", text(&load_stream::key)},
        {"host", text(&load_stream::host)},
        {"service", text(&load_stream::service)},
        {"method", text(&load_stream::method)},
        {"path", text(&load_stream::path)},
        {"rate", read_rate},
        {"shape", read_shape},
        {"steps", read_steps},
        {"body", read_body},
        {"idempotency", read_idempotency},
    };
    return readers;
}

/** Takes one named value over and reports what is wrong with it. */
void read_word(load_stream& stream, const std::string& name, const std::string& value,
               const std::string& source, finding_list& findings)
{
    const auto reader = word_readers().find(name);
    if (reader == word_readers().end()) {
        std::string known;
        for (const auto& [word, read] : word_readers()) {
            known += (known.empty() ? "" : ", ") + word;
        }
        findings.push_back({source, 0, name, "is not a known field; known are " + known});
    }
    else if (!reader->second(stream, value)) {
        findings.push_back({source, 0, name, "has a malformed value " + value});
    }
}

void check_stream(const load_stream& stream, const std::string& source, finding_list& findings)
{
    if (stream.host.empty()) {
        findings.push_back({source, 0, "host", "is required"});
    }
    if (!stream.path.starts_with('/')) {
        findings.push_back({source, 0, "path", "must begin with /"});
    }
}

void throw_if_any(finding_list findings)
{
    if (!findings.empty()) {
        throw invalid_input(std::move(findings));
    }
}

} // namespace

std::string service_of(const load_stream& stream)
{
    return stream.service.empty() ? stream.host.substr(0, stream.host.find('.')) : stream.service;
}

load_stream parse_load_stream(const std::string& text, const std::string& source)
{
    load_stream stream;
    finding_list findings;
    std::istringstream words(text);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals == std::string::npos) {
            findings.push_back({source, 0, word, "must be NAME=VALUE"});
            continue;
        }
        read_word(stream, word.substr(0, equals), word.substr(equals + 1), source, findings);
    }
    check_stream(stream, source, findings);
    throw_if_any(std::move(findings));
    return stream;
}

std::vector<load_stream> parse_load_plan(const std::string& text, const std::string& source)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("streams") ||
        !document.at("streams").is_array()) {
        throw invalid_input({{source, 0, "/streams", "must be an array of objects"}});
    }
    std::vector<load_stream> streams;
    finding_list findings;
    for (const auto& item : document.at("streams")) {
        const std::string place = source + "/streams/" + std::to_string(streams.size());
        load_stream stream;
        for (const auto& [name, value] : item.items()) {
            read_word(stream, name, value.is_string() ? value.get<std::string>() : value.dump(),
                      place, findings);
        }
        check_stream(stream, place, findings);
        streams.push_back(std::move(stream));
    }
    throw_if_any(std::move(findings));
    return streams;
}

} // namespace sniperock
