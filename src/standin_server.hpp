/** @file standin_server.hpp Stand-in for one server: slots, phases, faults and a record of what
 * ran.
 */
#pragma once

#include "standin_ledger.hpp"
#include "standin_type.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace sniperock {

/** Serves HTTP on an io_context that its owner runs on one thread. */
class standin_server {
public:
    /**
     * @param io runs the server; it must outlive it and be run by one thread.
     * @param ledger where requests that ran are entered; by default one of its own.
     */
    standin_server(asio::io_context& io, server_behaviour behaviour,
                   std::shared_ptr<run_ledger> ledger = nullptr);
    ~standin_server();
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;

    /** Listens. @param port 0 takes a free one. @return the port. @throws listen_failed */
    std::uint16_t start(const std::string& address, std::uint16_t port);
    /** Closes the listening socket and every connection. */
    void stop();
    /** Changes the phase; cold turns cold without warning. */
    void set_phase(server_phase phase);
    /** Changes the behaviour; carried out on the io thread. */
    void command(const server_command& order);
    /** What it saw so far; from any thread. */
    [[nodiscard]] server_record record() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace sniperock
