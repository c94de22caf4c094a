/** @file standin_server.hpp Stand-in for one server: slots, service time and a record of what ran.
 */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"
#include "random_type.hpp"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sniperock {

/** How a stand-in server behaves. */
struct server_behaviour {
    std::string name;
    std::uint32_t slots = 3;
    /** Calls at a time that it bears while cold. */
    std::uint32_t cold_slots = 1;
    /** Mean of the exponentially distributed service time; 0 answers at once. */
    microseconds service_time{5000};
    /** Size of each answer's body in bytes. */
    std::size_t answer_bytes = 1024;
    std::uint64_t seed = 1;
};

/** What a stand-in server saw. */
struct server_record {
    std::uint64_t calls = 0;
    std::uint64_t probes = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t most_in_flight = 0;
    /** How often each call id ran. */
    std::map<std::string, std::uint32_t> runs;
};

/** Serves HTTP on an io_context that its owner runs. */
class standin_server {
public:
    standin_server(asio::io_context& io, server_behaviour behaviour);
    ~standin_server();
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;

    /** Listens. @param port 0 takes a free one. @return the port. @throws std::system_error */
    std::uint16_t start(const std::string& address, std::uint16_t port);
    void stop();
    void set_phase(server_phase phase);
    [[nodiscard]] server_record record() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace sniperock
