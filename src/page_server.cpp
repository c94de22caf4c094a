/** @file page_server.cpp Serves the operators' pages by cpp-httplib. */
#include "page_server.hpp"

#include <httplib.h>

#include <stdexcept>
#include <thread>

namespace sniperock {
namespace {

/** Each open connection holds one. */
constexpr std::size_t page_threads = 16;
constexpr int http_unavailable = 503;

} // namespace

/** The HTTP server and its thread. */
struct page_server::impl {
    std::string address;
    int port = 0;
    httplib::Server server;
    std::thread thread;
};

page_server::page_server(std::string address, int port) : impl_(std::make_unique<impl>())
{
    impl_->address = std::move(address);
    impl_->port = port;
}

page_server::~page_server()
{
    stop();
}

void page_server::start(std::function<nlohmann::json()> status, std::function<bool()> healthy,
                        std::function<std::string()> measured)
{
    auto& server = impl_->server;
    server.new_task_queue = [] { return new httplib::ThreadPool(page_threads); };
    server.Get("/status", [status](const httplib::Request&, httplib::Response& response) {
        response.set_content(status().dump(2) + "\n", "application/json");
    });
    server.Get("/healthz", [healthy](const httplib::Request&, httplib::Response& response) {
        if (!healthy()) {
            response.status = http_unavailable;
        }
        response.set_content(healthy() ? "ok\n" : "no configuration yet\n", "text/plain");
    });
    server.Get("/metrics", [measured](const httplib::Request&, httplib::Response& response) {
        response.set_content(measured(), "text/plain; version=0.0.4");
    });
    const auto& address = impl_->address;
    if (impl_->port == 0) {
        impl_->port = server.bind_to_any_port(address);
    }
    else if (!server.bind_to_port(address, impl_->port)) {
        impl_->port = -1;
    }
    if (impl_->port < 0) {
        throw std::runtime_error("cannot listen on " + address);
    }
    impl_->thread = std::thread([this] { impl_->server.listen_after_bind(); });
}

void page_server::stop()
{
    impl_->server.stop();
    if (impl_->thread.joinable()) {
        impl_->thread.join();
    }
}

httplib::Server& page_server::server()
{
    return impl_->server;
}

int page_server::port() const
{
    return impl_->port;
}

} // namespace sniperock
