/** @file load_verify.cpp Asks a stand-in server whether calls told as not run did run. */
#include "load_verify.hpp"
#include "load_locate.hpp"
#include "standin_control.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace sniperock {
namespace {

constexpr std::size_t ids_per_request = 20'000;
constexpr int http_ok = 200;

} // namespace

verification verify_not_run(const std::string& address, const std::vector<std::string>& ids)
{
    const auto endpoint = parse_endpoint(address);
    httplib::Client client(endpoint.address().to_string(), endpoint.port());
    verification sum;
    for (std::size_t first = 0; first < ids.size(); first += ids_per_request) {
        std::string lines;
        const auto last = std::min(ids.size(), first + ids_per_request);
        for (std::size_t at = first; at < last; ++at) {
            lines.append(ids.at(at)).append("\n");
        }
        const auto answer = client.Post(server_path::ran, lines, "text/plain");
        if (!answer || answer->status != http_ok) {
            throw std::runtime_error("the stand-in server at " + address + " does not answer");
        }
        const auto told = nlohmann::json::parse(answer->body);
        sum.asked += told.at("asked").get<std::uint64_t>();
        sum.ran += told.at("ran").get<std::uint64_t>();
    }
    return sum;
}

} // namespace sniperock
