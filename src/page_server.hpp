/** @file page_server.hpp Serves /status, /healthz and /metrics. */
#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
}

namespace sniperock {

/** The operators' pages of one process. */
class page_server {
public:
    /** @param port 0 takes a free one. */
    page_server(std::string address, int port);
    ~page_server();
    page_server(const page_server&) = delete;
    page_server& operator=(const page_server&) = delete;

    /**
     * Listens and serves on threads of its own.
     * @param status makes the body of /status.
     * @param healthy decides between 200 and 503 for /healthz.
     * @param measured makes the body of /metrics.
     * @throws std::runtime_error if the port cannot be listened on.
     */
    void start(std::function<nlohmann::json()> status, std::function<bool()> healthy,
               std::function<std::string()> measured);
    void stop();
    /** The HTTP server, to add routes to before start(). */
    httplib::Server& server();
    [[nodiscard]] int port() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock
