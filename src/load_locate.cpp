/** @file load_locate.cpp The addresses that one caller uses for one service, and for how long. */
#include "load_locate.hpp"
#include "finding_type.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace sniperock {
namespace {

constexpr milliseconds retry_after_failure{50};

} // namespace

asio::ip::tcp::endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    asio::error_code fault = asio::error::invalid_argument;
    std::uint16_t port = 0;
    asio::ip::address address;
    if (colon != std::string::npos) {
        const auto* end = text.data() + text.size();
        const auto [parsed, error] = std::from_chars(text.data() + colon + 1, end, port);
        address = asio::ip::make_address(text.substr(0, colon), fault);
        fault = error != std::errc{} || parsed != end ? asio::error::invalid_argument : fault;
    }
    if (fault) {
        throw invalid_input({{"address", 0, text, "must be IP:PORT"}});
    }
    return {address, port};
}

std::optional<located> parse_located(const std::string& json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    try {
        located answer;
        answer.keep = milliseconds{document.at("keep_ms").get<std::int64_t>()};
        for (const auto& item : document.at("addresses")) {
            answer.addresses.push_back(parse_endpoint(item.at("address")));
        }
        return answer.addresses.empty() ? std::nullopt : std::optional{std::move(answer)};
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

bool locate_cache::start_refresh(local_time now)
{
    if (refreshing_ || now < refresh_at_) {
        return false;
    }
    refreshing_ = true;
    return true;
}

void locate_cache::set(located answer, local_time now)
{
    addresses_ = std::move(answer.addresses);
    refresh_at_ = now + answer.keep;
    refreshing_ = false;
}

void locate_cache::fail(local_time now)
{
    refresh_at_ = now + retry_after_failure;
    refreshing_ = false;
}

void locate_cache::demote(const asio::ip::tcp::endpoint& address, local_time now)
{
    const auto found = std::ranges::find(addresses_, address);
    if (found != addresses_.end()) {
        std::rotate(found, found + 1, addresses_.end());
    }
    refresh_at_ = std::min(refresh_at_, now);
}

} // namespace sniperock
