/** @file standin_session.hpp One connection of a stand-in server and what the connections share. */
#pragma once

#include "http_parser.hpp"
#include "standin_ledger.hpp"
#include "standin_model.hpp"
#include "standin_range.hpp"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace sniperock {

class standin_session;

/** State of one server; all but model and death is used by the io thread only. */
struct standin_host {
    standin_host(asio::io_context& with, server_behaviour behaviour,
                 std::shared_ptr<run_ledger> with_ledger)
        : io(with), model(std::move(behaviour), boot_clock::now()), ledger(std::move(with_ledger))
    {
    }

    /** Carries out a command; called on the io thread. */
    void command(const server_command& order);
    /** Closes every connection but @p spared. */
    void close_all(const standin_session* spared);
    /** Wakes the call that waits under @p ticket. */
    void wake(call_ticket ticket);
    /** True if the next call is to break its connection at @p point; counts it off. */
    bool take_death(server_death point);

    asio::io_context& io;
    /** Guards model and the death order. */
    std::mutex mutex;
    server_model model;
    std::optional<server_death> death;
    std::uint32_t deaths_left = 0;
    std::shared_ptr<run_ledger> ledger;
    std::set<std::shared_ptr<standin_session>> sessions;
    std::map<call_ticket, standin_session*> waiting;
};

/** Reads calls from one connection, one after another, and answers each. */
class standin_session : public std::enable_shared_from_this<standin_session> {
public:
    standin_session(asio::ip::tcp::socket socket, standin_host& host);

    /** Serves the connection until it closes. */
    asio::awaitable<void> run();
    void close();
    /** Neither answers nor closes from here on. */
    void silence() { silent_ = true; }
    /** Ends the wait for a slot. */
    void wake();

private:
    /** How a pause ended. */
    enum class pause_end { due, woken, peer_closed };

    asio::awaitable<bool> read_request();
    asio::awaitable<void> dispatch();
    asio::awaitable<void> handle_call();
    asio::awaitable<void> run_call(call_ticket ticket);
    asio::awaitable<bool> wait_for_slot(call_ticket ticket);
    asio::awaitable<bool> spend(microseconds time);
    asio::awaitable<void> answer_call();
    asio::awaitable<void> answer_bytes(std::uint64_t size);
    asio::awaitable<void> stream_bytes(byte_range range);
    asio::awaitable<void> handle_probe();
    asio::awaitable<void> handle_control();
    asio::awaitable<void> handle_record();
    asio::awaitable<void> handle_ran();
    asio::awaitable<void> refuse(int status, bool not_run);
    asio::awaitable<void> write_page(int status, const std::string& json);
    asio::awaitable<void> write(std::string_view bytes);
    asio::awaitable<pause_end> pause(local_time until);
    asio::awaitable<void> stay_silent();
    void watch_peer();
    void note_begin();
    void finish();
    [[noreturn]] void die();
    std::string answer_head(int status);
    [[nodiscard]] std::string header(const char* name);
    [[nodiscard]] bool past_deadline() const;

    asio::ip::tcp::socket socket_;
    standin_host& host_;
    http_message_parser parser_;
    asio::steady_timer timer_;
    std::string buffer_;
    std::size_t size_ = 0;
    std::size_t used_ = 0;
    /** First bytes of the request's body, for the pages. */
    std::string page_body_;
    std::uint64_t body_size_ = 0;
    std::string body_digest_;
    std::optional<wall_time> deadline_;
    server_run run_;
    /** The call that holds a slot. */
    std::optional<call_ticket> running_;
    bool silent_ = false;
    bool closed_ = false;
    bool woken_ = false;
    bool peer_closed_ = false;
};

} // namespace sniperock
