/** @file entry_node.hpp One entry vm's process: wires store, ownership, dispatcher, edge and pages.
 */
#pragma once

#include "config_type.hpp"
#include "settings_type.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace sniperock {

/** Ports that an entry node listens on. */
struct entry_ports {
    std::uint16_t callers = 0;
    std::uint16_t admin = 0;
};

/** Runs everything an entry vm does until stopped. */
class entry_node {
public:
    explicit entry_node(entry_settings settings);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /** Opens the listening sockets and starts all threads. @throws std::exception */
    void start();
    /**
     * Leaves gracefully: unlisted, servers handed over, running calls ended; members.leave_bound
     * bounds the wait. Call stop() afterwards.
     */
    void leave();
    /** Stops all threads. */
    void stop();
    [[nodiscard]] entry_ports ports() const;
    /** Revision of the configuration in force. */
    [[nodiscard]] config_revision revision() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock
