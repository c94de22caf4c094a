/** @file entry_quotas.cpp Wires the quotas of accounts to the configuration and to heartbeats. */
#include "entry_quotas.hpp"

#include <asio/steady_timer.hpp>

namespace sniperock {
namespace {

/** Most silent VMs that one message tells of, some 30 bytes each. */
constexpr std::size_t max_silent_told = 100;

/** Calls @p handler on the io thread after @p delay. */
void call_after(asio::io_context& io, nanoseconds delay, std::function<void(local_time)> handler)
{
    const auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, handler = std::move(handler)](const asio::error_code& error) {
        if (!error) {
            handler(boot_clock::now());
        }
    });
}

quota_limits limits_of(const configuration* config)
{
    quota_limits limits;
    if (config != nullptr && config->accounts) {
        for (const auto& account : *config->accounts) {
            if (account.rate > 0) {
                limits[subject_of(account.name)] = {account.rate, account.burst};
            }
        }
    }
    return limits;
}

} // namespace

entry_quotas::entry_quotas(asio::io_context& io, const member_entry& self, bool alone,
                           milliseconds heartbeat_period, random_engine& random,
                           quota_sender sender)
    : self_(self.name), failure_domain_(self.failure_domain), random_(random),
      fleet_(self.name, boot_clock::now(), alone, heartbeat_period), keeper_(self.name),
      exchange_(keeper_,
                {std::move(sender.ask), std::move(sender.answer),
                 [&io](nanoseconds delay, std::function<void(local_time)> handler) {
                     call_after(io, delay, std::move(handler));
                 }},
                random, self.incarnation_id.value)
{
}

void entry_quotas::configure(const entry_settings& settings, const configuration* config,
                             local_time now)
{
    keeper_.configure({settings.quota_window, settings.quota_overshoot, settings.quota_slack},
                      limits_of(config), now);
}

void entry_quotas::update(const std::vector<member_entry>& alive, local_time now)
{
    if (fleet_.update(alive, now)) {
        keeper_.set_fleet(fleet_.names(), fleet_.settled(), fleet_.parts_unused_since(now));
    }
    if (!fleet_.settled() && fleet_.all_started(now)) {
        exchange_.note_common_start(now);
    }
    std::vector<quota_peer> peers;
    for (const auto& member : alive) {
        if (member.name != self_) {
            peers.push_back(
                {member.name, member.address, member.failure_domain == failure_domain_});
        }
    }
    exchange_.set_peers(peers);
}

std::size_t entry_quotas::vms() const
{
    return keeper_.bounds().window > milliseconds{0} ? fleet_.names().size() : 0;
}

std::vector<silent_vm> entry_quotas::record_vms(std::size_t vms, local_time now)
{
    if (vms == 0) {
        return {};
    }
    fleet_.record_size(vms, now);
    return vms < fleet_.names().size() ? fleet_.silent(max_silent_told, random_, now)
                                       : std::vector<silent_vm>{};
}

void entry_quotas::record_silent(const std::vector<silent_vm>& silent, local_time now)
{
    fleet_.merge(silent, now);
}

} // namespace sniperock
