/** @file standin_fleet.cpp Many stand-in servers in one process, shared between threads. */
#include "standin_fleet.hpp"

#include <algorithm>

namespace sniperock {
namespace {

constexpr std::size_t fleet_ledger_limit = 4'000'000;

} // namespace

standin_fleet::standin_fleet(fleet_options options, std::shared_ptr<run_ledger> ledger)
    : options_(std::move(options)),
      ledger_(ledger ? std::move(ledger) : std::make_shared<run_ledger>(fleet_ledger_limit))
{
    const auto threads = std::max<std::uint16_t>(options_.threads, 1);
    std::generate_n(std::back_inserter(workers_), threads,
                    [] { return std::make_unique<worker>(); });
    for (std::size_t at = 0; at < options_.count; ++at) {
        auto behaviour = options_.behaviour;
        behaviour.name = options_.prefix + "-" + std::to_string(at);
        behaviour.seed += at;
        auto& io = workers_.at(at % workers_.size())->io;
        servers_.push_back(std::make_unique<standin_server>(io, behaviour, ledger_));
    }
}

standin_fleet::~standin_fleet()
{
    stop();
}

std::vector<fleet_member> standin_fleet::start()
{
    std::vector<fleet_member> members;
    std::uint16_t port = options_.first_port;
    for (const auto& server : servers_) {
        const auto name = options_.prefix + "-" + std::to_string(members.size());
        members.push_back({name, server->start(options_.address, port)});
        port = port == 0 ? port : static_cast<std::uint16_t>(port + 1);
    }
    for (const auto& each : workers_) {
        each->thread = std::thread([io = &each->io] { io->run(); });
    }
    return members;
}

void standin_fleet::stop()
{
    for (const auto& each : workers_) {
        each->io.stop();
        if (each->thread.joinable()) {
            each->thread.join();
        }
    }
}

} // namespace sniperock
