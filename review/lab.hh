/** @file lab.hh Stand-ins of store, instances and clients for the cases of the review, and the
 * start of a small deployment: three VMs as processes of their own, on loopback addresses.
 *
 * Header only and independent of the project's sources: sockets, threads and the JSON library that
 * the deploy file names. Everything follows PROTOCOL.md; what a case adds stands in the case. */
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lab {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline const steady::time_point started = steady::now();

inline long now_ms()
{
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - started).count());
}

inline void sleep_ms(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max(ms, 0L)));
}

/** Exit codes of a case. */
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int not_run = 2;

// The record.

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...)
{
    const std::lock_guard lock(record_mutex);
    va_list args;
    va_start(args, format);
    if (record_file != nullptr) {
        std::fprintf(record_file, "%7ld ms  ", now_ms());
        std::vfprintf(record_file, format, args);
        std::fprintf(record_file, "\n");
        std::fflush(record_file);
    }
    va_end(args);
}

inline std::vector<pid_t> children;
/** Settings and logs of the VMs; removed at the end of a case that could run. */
inline std::string temporary_folder;

/** Ends all processes that the case started, and the case. */
[[noreturn]] inline void end_case(int code, const std::string& verdict)
{
    for (const pid_t pid : children) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    if (code != not_run && !temporary_folder.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(temporary_folder, ignored);
    }
    record("exit %d: %s", code, verdict.c_str());
    std::printf("exit %d: %s\n", code, verdict.c_str());
    std::fflush(stdout);
    ::_exit(code);
}

inline std::string random_id()
{
    static std::mutex mutex;
    static std::mt19937_64 engine{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(engine()));
    return text;
}

// Sockets and messages.

struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** The body ended as announced. */
    bool complete = false;

    [[nodiscard]] std::optional<std::string> header(std::string_view name) const
    {
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() &&
                strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return std::nullopt;
    }
    [[nodiscard]] int status() const
    {
        return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
    }
    [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const auto start = first_line.find(' ') + 1;
        return first_line.substr(start, first_line.find(' ', start) - start);
    }
};

class connection {
public:
    explicit connection(int fd = -1) : fd_(fd) {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /** @param segment maximum segment size, as on a link outside of the machine; 0: as it is.
     * @param window receive buffer in bytes; 0: as it is. */
    bool connect(const std::string& ip, int port, int segment = 0, int window = 0)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (segment > 0) {
            ::setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        }
        if (window > 0) {
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto size = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
        return true;
    }
    /** Reads more bytes. @return false at the end of the connection or after @p timeout. */
    bool fill(long timeout_ms = 60'000, std::size_t most = 65'536)
    {
        pollfd item{fd_, POLLIN, 0};
        if (::poll(&item, 1, static_cast<int>(timeout_ms)) <= 0) {
            timed_out_ = true;
            return false;
        }
        char buffer[65'536];
        const auto size = ::recv(fd_, buffer, std::min(most, sizeof buffer), 0);
        reset_ = size < 0;
        if (size <= 0) {
            return false;
        }
        input_.append(buffer, static_cast<std::size_t>(size));
        return true;
    }
    /** Reads one message. @return false if the connection ended before its head was complete.
     * @param pause called before each read of the body. */
    bool read(message& result, long timeout_ms = 60'000, const std::function<void()>& pause = {},
              std::size_t most = 65'536)
    {
        result = {};
        timed_out_ = reset_ = false;
        std::size_t end = 0;
        while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(timeout_ms, most)) {
                return false;
            }
        }
        std::istringstream lines(input_.substr(0, end));
        input_.erase(0, end + 4);
        std::string line;
        std::getline(lines, result.first_line);
        if (!result.first_line.empty() && result.first_line.back() == '\r') {
            result.first_line.pop_back();
        }
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            result.headers.emplace_back(line.substr(0, colon), value);
        }
        const auto more = [&] {
            if (pause) {
                pause();
            }
            return fill(timeout_ms, most);
        };
        if (result.header("transfer-encoding")) {
            for (;;) {
                std::size_t eol = 0;
                while ((eol = input_.find("\r\n")) == std::string::npos) {
                    if (!more()) {
                        return true;
                    }
                }
                const auto size = std::strtoul(input_.c_str(), nullptr, 16);
                while (input_.size() < eol + 2 + size + 2) {
                    if (!more()) {
                        result.body += input_.substr(eol + 2);
                        return true;
                    }
                }
                result.body += input_.substr(eol + 2, size);
                input_.erase(0, eol + 2 + size + 2);
                if (size == 0) {
                    result.complete = true;
                    return true;
                }
            }
        }
        const auto length =
            std::strtoul(result.header("content-length").value_or("0").c_str(), nullptr, 10);
        while (input_.size() < length) {
            if (!more()) {
                result.body = std::exchange(input_, {});
                return true;
            }
        }
        result.body = input_.substr(0, length);
        input_.erase(0, length);
        result.complete = true;
        return true;
    }
    /** True if the peer has closed the connection. */
    [[nodiscard]] bool peer_closed() const
    {
        char byte = 0;
        const auto size = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    /** Closes the connection with a reset. */
    void abort()
    {
        const linger option{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }
    void close()
    {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
    }
    [[nodiscard]] bool timed_out() const { return timed_out_; }
    [[nodiscard]] bool was_reset() const { return reset_; }
    [[nodiscard]] int fd() const { return fd_; }

private:
    int fd_;
    std::string input_;
    bool timed_out_ = false;
    bool reset_ = false;
};

/** Accepts connections; each is served by a thread of its own. */
class server {
public:
    server(const std::string& ip, std::function<void(connection&)> serve) : serve_(std::move(serve))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        socklen_t size = sizeof address;
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(fd_, 512) != 0 ||
            ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            end_case(not_run, "a stand-in cannot listen on " + ip);
        }
        port_ = ntohs(address.sin_port);
        address_ = ip + ":" + std::to_string(port_);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard lock(mutex_);
                    open_.insert(fd);
                }
                std::thread([this, fd] {
                    connection peer(fd);
                    serve_(peer);
                    const std::lock_guard lock(mutex_);
                    open_.erase(fd);
                    peer.close();
                }).detach();
            }
        }).detach();
    }
    [[nodiscard]] int port() const { return port_; }
    [[nodiscard]] const std::string& address() const { return address_; }
    /** Closes the port and all connections, as at the end of the process. */
    void stop()
    {
        const std::lock_guard lock(mutex_);
        ::shutdown(fd_, SHUT_RDWR);
        for (const int fd : open_) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

private:
    std::function<void(connection&)> serve_;
    std::mutex mutex_;
    std::set<int> open_;
    int fd_ = -1;
    int port_ = 0;
    std::string address_;
};

inline std::string response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store.

/** Objects by kind and name, listings, watches and creation, as PROTOCOL.md has them. */
class store {
public:
    explicit store(const std::string& ip) : server_(ip, [this](connection& peer) { serve(peer); })
    {
    }
    [[nodiscard]] const std::string& address() const { return server_.address(); }

    void put(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::lock_guard lock(mutex_);
        auto& item = objects_[kind][name];
        item = {{"metadata", {{"name", name}, {"revision", ++revision_}}}, {"spec", spec}};
        history_.push_back({kind, revision_, {{"object", item}, {"deleted", false}}, now_ms()});
        changed_.notify_all();
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(mutex_);
        auto item = objects_[kind][name];
        objects_[kind].erase(name);
        item["metadata"]["revision"] = ++revision_;
        history_.push_back({kind, revision_, {{"object", item}, {"deleted", true}}, now_ms()});
        changed_.notify_all();
    }
    /** Bytes that the store gives in place of the text @c odd_mark, as another writer left them. */
    std::string odd;
    inline static const std::string odd_mark = "(odd)";
    /** Age of the state that a stale read of a page shows; @c first: the page has no `after`. */
    std::function<long(bool first)> stale_ms = [](bool) { return 0L; };
    std::size_t page_size = 50;

private:
    struct change {
        std::string kind;
        std::uint64_t revision;
        json event;
        long written_ms;
    };

    static std::string query(const std::string& target, const std::string& name)
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto field = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (field.rfind(name + "=", 0) == 0) {
                return field.substr(name.size() + 1);
            }
            at = end;
        }
        return "";
    }
    void serve(connection& peer)
    {
        message request;
        while (peer.read(request, 120'000)) {
            int status = 200;
            auto body = answer(request, status).dump();
            const auto mark = '"' + odd_mark + '"';
            for (auto at = body.find(mark); at != std::string::npos; at = body.find(mark, at)) {
                body.replace(at, mark.size(), odd);
                at += odd.size();
            }
            if (!peer.send(
                    response(status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body))) {
                return;
            }
        }
    }
    json answer(const message& request, int& status)
    {
        const auto target = request.target();
        auto path = target.substr(0, target.find('?'));
        path.erase(0, std::string("/v1/objects/").size());
        const auto kind = path.substr(0, path.find('/'));
        std::unique_lock lock(mutex_);
        if (request.method() == "POST") {
            const auto object = json::parse(request.body, nullptr, false);
            const std::string name = object.at("metadata").at("name");
            if (objects_[kind].contains(name)) {
                status = 409;
                return objects_[kind][name];
            }
            lock.unlock();
            put(kind, name, object.value("spec", json{}));
            lock.lock();
            return objects_[kind][name];
        }
        const auto watch = query(target, "watch");
        if (watch.empty()) {
            return list(kind, query(target, "after"), query(target, "allow_stale") == "1");
        }
        const auto after = std::strtoull(watch.c_str(), nullptr, 10);
        const auto wait = std::strtoul(query(target, "wait_ms").c_str(), nullptr, 10);
        json events = json::array();
        changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] {
            for (const auto& item : history_) {
                if (item.kind == kind && item.revision > after) {
                    events.push_back(item.event);
                }
            }
            return !events.empty();
        });
        return {{"events", events}, {"at", revision_}};
    }

    /** One page of a listing, as of now or, for a stale read, as of a time before. */
    json list(const std::string& kind, const std::string& after, bool stale)
    {
        const long limit = now_ms() - (stale ? stale_ms(after.empty()) : 0);
        std::map<std::string, json> objects;
        std::uint64_t at = 1;
        for (const auto& item : history_) {
            if (item.written_ms > limit) {
                break;
            }
            at = item.revision;
            if (item.kind != kind) {
                continue;
            }
            const auto& object = item.event.at("object");
            const std::string name = object.at("metadata").at("name");
            if (item.event.at("deleted").get<bool>()) {
                objects.erase(name);
            }
            else {
                objects[name] = object;
            }
        }
        json items = json::array();
        auto next = after.empty() ? objects.begin() : objects.upper_bound(after);
        for (; next != objects.end() && items.size() < page_size; ++next) {
            items.push_back(next->second);
        }
        return {{"items", items}, {"has_more", next != objects.end()}, {"at", at}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    server server_;
};

// Instances.

/** An instance: health path, slots with a queue, and answers with id and signature. */
class instance {
public:
    struct run {
        std::string id;
        std::string line;
        long began_ms;
        long ended_ms = -1;
        bool answered = false;
    };

    instance(const std::string& ip, std::string id, std::string service, int slots)
        : id(std::move(id)), service(std::move(service)), slots(slots),
          server_(ip, [this](connection& peer) { serve(peer); })
    {
    }

    std::string id;
    std::string service;
    int slots;
    /** Work and size of the answer of a request. */
    std::function<long(const message&)> work_ms = [](const message&) { return 40L; };
    std::function<std::size_t(const message&)> body_bytes = [](const message&) { return 400UL; };
    /** Sends an answer; a case replaces it to spoil some. @return false closes the connection. */
    std::function<bool(connection&, const message&, const std::string&)> deliver =
        [](connection& peer, const message&, const std::string& bytes) { return peer.send(bytes); };
    /** Answer to the health path. */
    std::function<std::string()> health = [this] {
        return response(200, "Sniperock-Instance-Id: " + id + "\r\n" + load(), "");
    };
    /** Without it, the health path takes its turn like any other request, or is rejected. */
    bool tells_load = true;
    /** Called with each request that is accepted, before it is run, and with the last answer on its
     * connection (empty if there is none). */
    std::function<void(connection&, const message&, const std::string&)> accepted =
        [](connection&, const message&, const std::string&) {};
    /** Answers so far, to the health path too. */
    std::atomic<long> answers{0};

    [[nodiscard]] const std::string& address() const { return server_.address(); }
    /** Ends the instance; what it runs is lost. */
    void stop()
    {
        stopped_ = true;
        server_.stop();
    }
    /** All runs so far. */
    [[nodiscard]] std::vector<run> runs()
    {
        const std::lock_guard lock(mutex_);
        std::vector<run> result;
        for (const auto& [id, item] : runs_) {
            result.push_back(item);
        }
        return result;
    }
    [[nodiscard]] json entry(const std::string& zone, const std::string& state = "ready",
                             int seq = 1) const
    {
        return {
            {"address", address()},
            {"born", 1'700'000'000'000},
            {"info", {{"service", service}, {"version", "v1"}, {"zone", zone}, {"slots", slots}}},
            {"status", {{"state", state}, {"seq", seq}, {"cold_remaining_ms", 0}}}};
    }
    [[nodiscard]] std::string load()
    {
        if (!tells_load) {
            return "";
        }
        const std::lock_guard lock(mutex_);
        return "Sniperock-Server-Load: " + std::to_string(running_) + "," +
               std::to_string(waiting_) + "," + std::to_string(slots) + "\r\n";
    }
    /** The run of a request; empty if it has not run here. */
    [[nodiscard]] std::optional<run> run_of(const std::string& request)
    {
        const std::lock_guard lock(mutex_);
        const auto found = runs_.find(request);
        return found == runs_.end() ? std::nullopt : std::optional{found->second};
    }

private:
    void serve(connection& peer)
    {
        message request;
        std::string last;
        while (peer.read(request, 10'000)) {
            const bool open =
                request.complete && (request.target() == "/healthz" ? answer_health(peer, last)
                                                                    : respond(peer, request, last));
            if (!open) {
                return;
            }
            ++answers;
        }
    }
    /** Waits for a slot. @return false if the request is rejected. */
    bool take_slot()
    {
        constexpr int queue = 4;
        std::unique_lock lock(mutex_);
        if (running_ >= slots && waiting_ >= queue) {
            return false;
        }
        ++waiting_;
        free_.wait(lock, [this] { return running_ < slots; });
        --waiting_;
        ++running_;
        return true;
    }
    void leave_slot()
    {
        const std::lock_guard lock(mutex_);
        --running_;
        free_.notify_all();
    }
    [[nodiscard]] bool full()
    {
        const std::lock_guard lock(mutex_);
        return running_ >= slots && waiting_ >= 4;
    }
    bool answer_health(connection& peer, std::string& last)
    {
        last = health();
        if (!tells_load) {
            if (take_slot()) {
                leave_slot();
            }
            else {
                last = response(
                    503, "Sniperock-Instance-Id: " + id + "\r\nSniperock-Not-Executed: 1\r\n", "");
            }
        }
        return peer.send(last);
    }
    bool respond(connection& peer, const message& request, std::string& last)
    {
        const auto attempt = request.header("sniperock-attempt-id").value_or("");
        const auto echo = "Sniperock-Attempt-Id: " + attempt + "\r\n";
        if (request.header("sniperock-expect-instance").value_or(id) != id) {
            last = response(421, echo + "Sniperock-Instance-Id: " + id + "\r\n", "");
            return peer.send(last);
        }
        if (!full()) {
            accepted(peer, request, last);
        }
        if (!take_slot()) {
            last = response(503, echo + "Sniperock-Not-Executed: 1\r\n" + load(), "");
            return peer.send(last);
        }
        {
            const std::lock_guard lock(mutex_);
            runs_[attempt] = {attempt, request.first_line, now_ms()};
        }
        record("instance %s runs %s (%s)", id.c_str(), attempt.c_str(), request.first_line.c_str());
        const long until = now_ms() + work_ms(request);
        bool cut = false;
        while (now_ms() < until && !cut) {
            sleep_ms(std::min(until - now_ms(), 10L));
            cut = peer.peer_closed() || stopped_;
        }
        leave_slot();
        if (cut) {
            record("instance %s: connection of %s was closed during its work", id.c_str(),
                   attempt.c_str());
        }
        const std::string body(body_bytes(request), 'x');
        last = response(200,
                        echo + "Sniperock-Response-Signature: s." + attempt +
                            "\r\nKeep-Alive: timeout=10\r\n" + load(),
                        body);
        const bool sent = !cut && deliver(peer, request, last);
        const std::lock_guard lock(mutex_);
        runs_[attempt].ended_ms = now_ms();
        runs_[attempt].answered = sent;
        return sent;
    }

    std::mutex mutex_;
    std::condition_variable free_;
    std::atomic<bool> stopped_{false};
    int running_ = 0;
    int waiting_ = 0;
    std::map<std::string, run> runs_;
    server server_;
};

// The VMs.

struct bounds {
    int grace_s = 6;
    int drain_ms = 2000;
};

/** One VM: its settings from the deploy file's template, and its process. */
struct vm {
    std::string name;
    std::string zone;
    std::string ip;
    pid_t pid = 0;
};

inline bool port_is_free(const std::string& ip, int port)
{
    bool free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = ::socket(AF_INET, type, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        free = free && ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
    }
    return free;
}

/** A small deployment: store, instances in three zones and three VMs. */
class deployment {
public:
    deployment(const std::string& folder, bounds limits) : limits_(limits)
    {
        record_file = std::fopen((folder + "/record.txt").c_str(), "we");
        ::signal(SIGPIPE, SIG_IGN);
        std::random_device random;
        net_ = "127." + std::to_string(60 + random() % 60) + "." + std::to_string(random() % 250);
        auto pattern =
            (std::filesystem::temp_directory_path() / "sniperock-review-XXXXXX").string();
        if (record_file == nullptr || ::mkdtemp(pattern.data()) == nullptr) {
            end_case(not_run, "no record or temporary folder");
        }
        folder_ = temporary_folder = pattern;
        std::thread([] {
            sleep_ms(112'000);
            end_case(not_run, "the case took too long");
        }).detach();
        platform = std::make_unique<store>(net_ + ".200");
    }

    instance& add_instance(const std::string& service, int slots, const std::string& prefix = "i-")
    {
        const auto number = instances.size() + 1;
        const auto zone = zones_.at(instances.size() % zones_.size());
        instances.push_back(
            std::make_unique<instance>(net_ + "." + std::to_string(100 + number % 100),
                                       prefix + random_id().substr(0, 8), service, slots));
        platform->put("servers", instances.back()->id, instances.back()->entry(zone));
        return *instances.back();
    }
    /** @param routes rows: name, path prefix, kind, timeout_ms, target_latency_ms, priority,
     * service, max_attempts. */
    void configure(const std::vector<json>& routes, const std::string& version = "r7")
    {
        json rows = json::array();
        for (auto row : routes) {
            row.insert(row.begin() + 1, host);
            rows.push_back(row);
        }
        json services = json::array();
        std::set<std::string> names;
        for (const auto& item : instances) {
            names.insert(item->service);
        }
        for (const auto& name : names) {
            services.push_back({name, "/healthz", 220, 3.0, 5.1});
        }
        platform->put(
            "config", "main",
            {{"version", version},
             {"routes",
              {{"columns",
                {"name", "hostname", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                 "priority", "service", "max_attempts"}},
               {"rows", rows}}},
             {"services",
              {{"columns", {"name", "health_path", "max_conns", "cold_s", "warmup_per_s"}},
               {"rows", services}}},
             {"limits",
              {{"max_header_bytes", 16384},
               {"max_body_bytes", 1048576},
               {"header_timeout_ms", 5000},
               {"idle_timeout_ms", 30000}}}});
    }
    /** Starts the VMs and waits until all are ready. */
    void start()
    {
        std::random_device random;
        bool free = false;
        for (int tries = 0; tries < 50 && !free; ++tries) {
            base_ = 20'000 + static_cast<int>(random() % 10'000);
            free = true;
            for (std::size_t i = 0; i < zones_.size(); ++i) {
                for (int port = base_; port < base_ + 6; ++port) {
                    free = free && port_is_free(net_ + "." + std::to_string(i + 1), port);
                }
            }
        }
        std::string seeds;
        for (std::size_t i = 0; i < zones_.size(); ++i) {
            vms.push_back(
                {"front-" + zones_.at(i) + "-1", zones_.at(i), net_ + "." + std::to_string(i + 1)});
            seeds += (i > 0 ? "," : "") + vms.back().ip + ":" + std::to_string(base_ + 5);
        }
        seeds_ = seeds;
        for (auto& item : vms) {
            launch(item, seeds_);
        }
        for (const auto& item : vms) {
            wait_until_ready(item);
        }
        // The store's listings are read and the VMs know each other.
        sleep_ms(4000);
        record("all VMs are ready");
    }
    /** Kills a VM's process and starts it again after a short delay, as the platform does. */
    void kill_and_start(vm& item)
    {
        record("SIGKILL to %s", item.name.c_str());
        ::kill(item.pid, SIGKILL);
        ::waitpid(item.pid, nullptr, 0);
        std::erase(children, item.pid);
        sleep_ms(300);
        launch(item, seeds_);
        wait_until_ready(item);
        record("%s is ready again", item.name.c_str());
    }
    /** Starts a VM's process again if it has ended. @return how it ended, in words; empty if it
     * runs. */
    std::string restart_if_ended(vm& item)
    {
        int status = 0;
        if (::waitpid(item.pid, &status, WNOHANG) != item.pid) {
            return "";
        }
        std::erase(children, item.pid);
        sleep_ms(300);
        launch(item, seeds_);
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit code " + std::to_string(WEXITSTATUS(status));
    }
    [[nodiscard]] int front_port() const { return base_; }
    [[nodiscard]] std::string front_of(const vm& item) const
    {
        return item.ip + ":" + std::to_string(base_);
    }
    /** Asks a VM's directory. @return the body of the answer. */
    [[nodiscard]] json ask_directory(const vm& at) const
    {
        connection peer;
        message answer;
        if (!peer.connect(at.ip, base_ + 2) ||
            !peer.send("GET /v1/resolve?name=" + host + "&region=north&zone=" + at.zone +
                       " HTTP/1.1\r\nHost: directory\r\n\r\n") ||
            !peer.read(answer, 1000)) {
            return {};
        }
        return json::parse(answer.body, nullptr, false);
    }
    [[nodiscard]] bool alive(const vm& item) const
    {
        return ::waitpid(item.pid, nullptr, WNOHANG) == 0;
    }

    static std::string request(const std::string& method, const std::string& path,
                               const std::string& id, long deadline_ms,
                               const std::string& body = "")
    {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                           "\r\nSniperock-Attempt-Id: " + id +
                           "\r\nSniperock-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
        if (!body.empty()) {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        return text + "\r\n" + body;
    }
    /** Number of instances at which a request has run. */
    [[nodiscard]] int runs_of(const std::string& request) const
    {
        return static_cast<int>(std::ranges::count_if(
            instances, [&](const auto& item) { return item->run_of(request).has_value(); }));
    }
    /** The run of a request at any instance. */
    [[nodiscard]] std::optional<instance::run> run_of(const std::string& request) const
    {
        for (const auto& item : instances) {
            if (auto run = item->run_of(request)) {
                return run;
            }
        }
        return std::nullopt;
    }
    /** True unless the variable TROUBLE is 0. */
    static bool trouble()
    {
        const char* text = std::getenv("TROUBLE");
        return text == nullptr || std::string_view{text} != "0";
    }

    inline static const std::string host = "ficu95.example";
    std::unique_ptr<store> platform;
    std::vector<std::unique_ptr<instance>> instances;
    std::vector<vm> vms;

private:
    void launch(vm& item, const std::string& seeds)
    {
        const auto at = [&](int port) { return item.ip + ":" + std::to_string(base_ + port); };
        const std::map<std::string, std::string> values{
            {"node", item.name},
            {"zone", item.zone},
            {"region", "north"},
            {"listen.front", at(0)},
            {"listen.ready", at(1)},
            {"listen.directory", at(2)},
            {"internal_ports.0", std::to_string(base_ + 3)},
            {"internal_ports.1", std::to_string(base_ + 4)},
            {"seeds", seeds},
            {"platform.address", platform->address()},
            {"platform.history_s", "20"},
            {"bounds.grace_s", std::to_string(limits_.grace_s)},
            {"bounds.drain_ms", std::to_string(limits_.drain_ms)},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_slack", "56"},
            {"bounds.budget_window_s", "10"},
            {"bounds.cold_overshoot", "1.5"},
            {"bounds.cold_slack", "5"},
            {"bounds.probes_per_s", "60"}};
        std::ifstream in("deploy/entry.ini");
        std::stringstream text;
        text << in.rdbuf();
        std::string filled = text.str();
        for (auto start = filled.find("{{"); start != std::string::npos;
             start = filled.find("{{", start)) {
            const auto end = filled.find("}}", start);
            const auto found = values.find(filled.substr(start + 2, end - start - 2));
            if (found == values.end()) {
                end_case(not_run, "placeholder " + filled.substr(start, end - start + 2));
            }
            filled.replace(start, end - start + 2, found->second);
        }
        const auto settings = folder_ + "/" + item.name + ".ini";
        std::ofstream(settings) << filled;
        const auto log = folder_ + "/" + item.name + ".log";
        item.pid = ::fork();
        if (item.pid == 0) {
            // Ends with the case, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::execl("target/sniperock", "target/sniperock", "entry", "--settings", settings.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
        children.push_back(item.pid);
        record("VM %s started at %s", item.name.c_str(), at(0).c_str());
    }
    void wait_until_ready(const vm& item)
    {
        const long until = now_ms() + 20'000;
        while (now_ms() < until) {
            connection peer;
            message answer;
            if (peer.connect(item.ip, base_ + 1) &&
                peer.send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                peer.read(answer, 1000) && answer.status() == 200) {
                return;
            }
            sleep_ms(100);
        }
        end_case(not_run, "VM " + item.name + " is not ready; logs in " + folder_);
    }

    bounds limits_;
    std::string net_;
    std::string folder_;
    std::string seeds_;
    int base_ = 0;
    std::vector<std::string> zones_{"north-a", "north-b", "north-c"};
};

} // namespace lab
