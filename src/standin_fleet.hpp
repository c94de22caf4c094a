/** @file standin_fleet.hpp Many stand-in servers in one process, shared between threads. */
#pragma once

#include "standin_server.hpp"

#include <asio/executor_work_guard.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sniperock {

/** What a fleet consists of. */
struct fleet_options {
    std::string address = "127.0.0.1";
    std::string prefix = "server";
    /** 0 takes free ports. */
    std::uint16_t first_port = 7200;
    std::uint16_t count = 1;
    std::uint16_t threads = 1;
    /** Behaviour of each; its name and seed are numbered on. */
    server_behaviour behaviour;
};

/** A server that listens. */
struct fleet_member {
    std::string name;
    std::uint16_t port = 0;
};

/** Runs servers on threads of its own; each server stays on one thread. */
class standin_fleet {
public:
    explicit standin_fleet(fleet_options options, std::shared_ptr<run_ledger> ledger = nullptr);
    ~standin_fleet();
    standin_fleet(const standin_fleet&) = delete;
    standin_fleet& operator=(const standin_fleet&) = delete;

    /** Starts all servers and threads. @throws listen_failed */
    std::vector<fleet_member> start();
    /** Stops all servers and joins the threads. */
    void stop();
    [[nodiscard]] const std::vector<std::unique_ptr<standin_server>>& servers() const
    {
        return servers_;
    }
    [[nodiscard]] const run_ledger& ledger() const { return *ledger_; }

private:
    /** One thread and what it runs. */
    struct worker {
        asio::io_context io{1};
        asio::executor_work_guard<asio::io_context::executor_type> guard{io.get_executor()};
        std::thread thread;
    };

    fleet_options options_;
    std::shared_ptr<run_ledger> ledger_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<std::unique_ptr<standin_server>> servers_;
};

} // namespace sniperock
