/** @file entry_quotas.hpp Wires the quotas of accounts to the configuration and to heartbeats. */
#pragma once

#include "config_type.hpp"
#include "quota_exchange.hpp"
#include "quota_fleet.hpp"
#include "settings_type.hpp"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sniperock {

/** Sends messages about tokens to the VM at an address. */
struct quota_sender {
    std::function<void(const quota_ask&, const std::string& to)> ask;
    std::function<void(const quota_answer&, const std::string& to)> answer;
};

/** The components that enforce quotas, and what they are told by the rest of the process. */
class entry_quotas {
public:
    /** @param self this VM's entry in heartbeats. @param alone no other VM is configured. */
    entry_quotas(asio::io_context& io, const member_entry& self, bool alone,
                 milliseconds heartbeat_period, random_engine& random, quota_sender sender);

    /** Takes over settings and the configuration in force. @param config null if there is none. */
    void configure(const entry_settings& settings, const configuration* config, local_time now);
    /** Takes over which VMs are alive; called every second. */
    void update(const std::vector<member_entry>& alive, local_time now);

    /** Whether this VM knows the fleet well enough to hold a part of a quota. */
    [[nodiscard]] bool settled() const { return fleet_.settled(); }
    /** Number of VMs among which quotas are divided; 0 if none are enforced. */
    [[nodiscard]] std::size_t vms() const;
    /** Another VM divides quotas among @p vms. @return silent VMs that it should know of. */
    std::vector<silent_vm> record_vms(std::size_t vms, local_time now);
    void record_silent(const std::vector<silent_vm>& silent, local_time now);

    quota_exchange& exchange() { return exchange_; }

private:
    std::string self_;
    std::string failure_domain_;
    random_engine& random_;
    quota_fleet fleet_;
    quota_keeper keeper_;
    quota_exchange exchange_;
};

} // namespace sniperock
