/** @file entry_ownership_sink.hpp Drives a dispatcher that is only told which servers it owns. */
#pragma once

#include "ownership_driver.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

namespace sniperock {

/** Turns the calls of the driver into set_owned of @p Dispatcher; knows of no permits. */
template <typename Dispatcher>
class set_owned_adapter {
public:
    explicit set_owned_adapter(Dispatcher& slots) : slots_(slots) {}

    void set_lease(local_time until)
    {
        const bool held = until > boot_clock::now();
        if (std::exchange(leased_, held) != held) {
            update();
        }
    }
    void gain(const std::vector<gained_server>& gained, local_time, wall_time)
    {
        for (const auto& server : gained) {
            owned_[server.state.server] = server.entry;
        }
        update();
    }
    std::vector<server_handover> give_up(const std::vector<server_key>& servers, local_time)
    {
        std::vector<server_handover> states;
        for (const auto& server : servers) {
            owned_.erase(server);
            states.emplace_back().server = server;
        }
        update();
        return states;
    }
    void set_view(const std::shared_ptr<const ownership_view>&) {}

private:
    void update()
    {
        std::map<std::string, std::vector<server_entry>> owned;
        for (const auto& [key, entry] : owned_) {
            auto& servers = owned[key.service];
            if (leased_) {
                servers.push_back(entry);
            }
        }
        slots_.set_owned(owned);
    }

    Dispatcher& slots_;
    std::map<server_key, server_entry> owned_;
    bool leased_ = false;
};

/** The dispatcher itself as a sink. */
template <typename Dispatcher>
class direct_sink {
public:
    explicit direct_sink(Dispatcher& slots) : slots_(slots) {}
    void set_lease(local_time until) { slots_.set_lease(until); }
    void gain(const std::vector<gained_server>& gained, local_time now, wall_time wall)
    {
        slots_.gain(gained, now, wall);
    }
    std::vector<server_handover> give_up(const std::vector<server_key>& servers, local_time now)
    {
        return slots_.give_up(servers, now);
    }
    void set_view(std::shared_ptr<const ownership_view> view) { slots_.set_view(std::move(view)); }

private:
    Dispatcher& slots_;
};

/** The sink that fits @p Dispatcher. */
template <typename Dispatcher>
using sink_for = std::conditional_t<ownership_sink<Dispatcher>, direct_sink<Dispatcher>,
                                    set_owned_adapter<Dispatcher>>;

} // namespace sniperock
