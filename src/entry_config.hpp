/** @file entry_config.hpp Configuration and administration of one entry vm. */
#pragma once

#include "config_keeper.hpp"
#include "config_peer_type.hpp"
#include "metrics.hpp"
#include "peer_link.hpp"
#include "settings_type.hpp"
#include "store_type.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace httplib {
class Server;
}

namespace sniperock {

/**
 * Follows the configuration through the store and the other vms, runs the administration API's
 * commands and records what was taken while the store did not answer. All store calls run on
 * threads of its own.
 */
class entry_config {
public:
    /** Subscribes to the configuration messages of @p link, which must not be started yet. */
    entry_config(const entry_settings& settings, peer_link& link, metrics& measured);
    ~entry_config();
    entry_config(const entry_config&) = delete;
    entry_config& operator=(const entry_config&) = delete;

    /** Adds one that is told of each snapshot in force; before start(). */
    void subscribe(config_keeper::subscriber callback);
    /** Adds the administration API's routes; before the server listens. */
    void mount(httplib::Server& server);
    void start();
    void stop();
    /** Sets the vms of the fleet, this one included. */
    void set_vms(const std::vector<vm_record>& vms);
    /** What is in force; never null. */
    [[nodiscard]] std::shared_ptr<const config_snapshot> snapshot() const;
    /** True once the store or another vm has told what is in force. */
    [[nodiscard]] bool is_known() const;
    /** Revision, unrecorded changes and every vm's position, for the status page. */
    [[nodiscard]] nlohmann::json status() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock
