/** @file load_locate.hpp The addresses that one caller uses for one service, and for how long. */
#pragma once

#include "clock_type.hpp"

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** Parses address:port. @throws invalid_input */
asio::ip::tcp::endpoint parse_endpoint(const std::string& text);

/** A locate answer. */
struct located {
    std::vector<asio::ip::tcp::endpoint> addresses;
    milliseconds keep{0};
};

/** Parses the JSON of a locate answer; empty if it is none or names no address. */
std::optional<located> parse_located(const std::string& json);

/** One caller's addresses: keeps an answer for its time and asks again early after a failure. */
class locate_cache {
public:
    /** True if an answer should be asked for now; the caller then asks and calls set or fail. */
    bool start_refresh(local_time now);
    void set(located answer, local_time now);
    /** The answer could not be had; the next try waits a moment. */
    void fail(local_time now);
    /** The address failed: others come first until the next answer, which is asked for early. */
    void demote(const asio::ip::tcp::endpoint& address, local_time now);
    [[nodiscard]] const std::vector<asio::ip::tcp::endpoint>& addresses() const
    {
        return addresses_;
    }

private:
    std::vector<asio::ip::tcp::endpoint> addresses_;
    local_time refresh_at_{};
    bool refreshing_ = false;
};

} // namespace sniperock
