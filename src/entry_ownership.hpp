/** @file entry_ownership.hpp Runs ownership and membership in an entry process. */
#pragma once

#include "config_type.hpp"
#include "dispatch.hpp"
#include "locate.hpp"
#include "metrics.hpp"
#include "peer_link.hpp"
#include "settings_type.hpp"
#include "store_type.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace sniperock {

/** Who is told of changes; called on threads of entry_ownership. */
struct ownership_listeners {
    /** The platform's list was read. */
    std::function<void(const std::vector<vm_record>&)> listed;
    /** What callers should be told of the entry vms. */
    std::function<void(std::vector<locate_entry>)> located;
};

/**
 * Feeds store, list, peers and timer into the ownership driver, on one thread, and drives the
 * dispatcher. All members may be called from any thread.
 */
class entry_ownership {
public:
    /**
     * @param settings times, cell and store.
     * @param life incarnation of this process; the one that @p link signs with.
     * @param slots grants by what this decides; must outlive this.
     * @param link not started yet; must outlive this.
     * @param measured must outlive this.
     * @throws invalid_input if the times do not fit together.
     */
    entry_ownership(const entry_settings& settings, incarnation life, dispatcher& slots,
                    peer_link& link, metrics& measured, ownership_listeners listeners);
    ~entry_ownership();
    entry_ownership(const entry_ownership&) = delete;
    entry_ownership& operator=(const entry_ownership&) = delete;

    /** Starts the threads. @param self what this vm announces in the platform's list. */
    void start(const vm_record& self);
    void stop();
    /** Takes over a newer configuration. */
    void set_config(std::shared_ptr<const config_snapshot> config);
    /**
     * Announces that this vm leaves and hands its servers over.
     * @param bound longest wait.
     * @return false if it still holds servers by then.
     */
    bool leave(milliseconds bound);
    /** True if this vm is a member of an epoch. */
    [[nodiscard]] bool is_member() const;
    /** Epoch, lease, members and servers, for the pages. */
    [[nodiscard]] nlohmann::json status() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock
