/** @file entry_node.hpp One entry VM's process: all parts and how they are wired. */
#pragma once

#include "settings_type.hpp"
#include "store_schema.hpp"
#include "wire_dialect.hpp"

#include <functional>
#include <memory>
#include <string>

namespace sniperock {

/** What a deployment's adapter brings. */
struct entry_adapter {
    const wire_dialect& dialect;
    const store_schema& schema;
};

/** Serves callers until it is told to drain. */
class entry_node {
public:
    /**
     * @param settings what holds at the start.
     * @param reload reads the settings anew; called when the file may have changed.
     */
    entry_node(entry_settings settings, entry_adapter adapter,
               std::function<entry_settings()> reload);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /** Opens the ports. @throws listen_failed */
    void start();
    /** Runs until the process has left; SIGTERM and SIGINT begin that, SIGHUP reloads. */
    void run();
    /** Begins to drain; may be called from any thread. */
    void drain();

    /** Ports in use, for settings that ask for free ones. */
    [[nodiscard]] std::uint16_t callers_port() const;
    [[nodiscard]] std::uint16_t ready_port() const;
    [[nodiscard]] std::uint16_t directory_port() const;
    [[nodiscard]] std::uint16_t metrics_port() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock
