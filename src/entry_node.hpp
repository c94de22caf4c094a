/** @file entry_node.hpp The process of one entry VM: its components and their wiring. */
#pragma once

#include "settings_type.hpp"
#include "store_schema.hpp"
#include "wire_dialect.hpp"

#include <functional>
#include <memory>
#include <string>

namespace sniperock {

/** The protocol-specific parts that a deployment provides. */
struct entry_adapter {
    const wire_dialect& dialect;
    const store_schema& schema;
};

/** Serves callers until it is shut down. */
class entry_node {
public:
    /**
     * @param settings initial settings.
     * @param reload rereads the settings; called when the file may have changed.
     */
    entry_node(entry_settings settings, entry_adapter adapter,
               std::function<entry_settings()> reload);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /** Opens the ports. @throws listen_failed */
    void start();
    /** Runs until the shutdown is complete; SIGTERM and SIGINT start it, SIGHUP reloads the
     * settings. */
    void run();
    /** Starts a graceful shutdown; may be called from any thread. */
    void drain();

    /** Ports in use; needed if the settings request free ones with port 0. */
    [[nodiscard]] std::uint16_t callers_port() const;
    [[nodiscard]] std::uint16_t ready_port() const;
    [[nodiscard]] std::uint16_t directory_port() const;
    [[nodiscard]] std::uint16_t metrics_port() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock
