/** @file standin_platform.hpp Stand-in for the platform: object store, watches and the list of vms.
 */
#pragma once

#include "clock_type.hpp"
#include "store_type.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace sniperock {

/** How the stand-in misbehaves. */
struct platform_faults {
    /** Refuses every call. */
    bool down = false;
    /** Delays each call by this much. */
    milliseconds delay{0};
    /** Number of coming writes that take effect and whose reply is lost. */
    std::uint32_t lost_replies = 0;
    /** Delays each call further by up to this much, at random. */
    milliseconds jitter{0};
    /** Number of coming writes that do not take effect and whose reply is lost. */
    std::uint32_t lost_requests = 0;
    /** Refuses calls whose X-Vm header or IP is among these. */
    std::set<std::string> down_for{};
    /** Calls a second above which it answers 429; 0 is unlimited. */
    std::uint32_t rate_limit = 0;
};

/** Calls served, by kind; every call counts, refused ones too. */
struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
    /** Most calls of a kind in one second. */
    std::uint64_t most_reads = 0;
    std::uint64_t most_writes = 0;
    std::uint64_t most_watches = 0;
    std::uint64_t most_lists = 0;
    /** Most calls of all kinds in one second. */
    std::uint64_t most = 0;
    /** Refused because of a fault. */
    std::uint64_t refused = 0;
    /** Refused with 429. */
    std::uint64_t limited = 0;
    /** Watches waiting now. */
    std::uint64_t waiting = 0;
};

/** Objects with versions, kept in memory. */
class platform_objects {
public:
    /** Reads an object; empty if there is none. */
    std::optional<store_object> get(const std::string& key);
    /** Writes if the version is still @p expected. */
    put_result put(const std::string& key, std::string value, object_version expected);
    /** Removes an object, if there is one. */
    void remove(const std::string& key);
    /** Waits until the version is above @p after or @p wait has passed. */
    std::optional<store_object> watch(const std::string& key, object_version after,
                                      milliseconds wait);
    /** Ends every waiting watch now. */
    void interrupt();
    /** Wakes every watch for good. */
    void stop();

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, store_object> objects_;
    /** Last versions of removed objects: versions never fall back. */
    std::map<std::string, object_version> removed_;
    std::uint64_t interruptions_ = 0;
    bool stopped_ = false;
};

/** Serves the object store's HTTP interface on a thread of its own. */
class standin_platform {
public:
    /** Time after which a vm that is not renewed vanishes from the list. */
    static constexpr milliseconds default_vm_keep{10'000};

    /**
     * @param list_lag how late the list of vms shows changes.
     * @param vm_keep time after which a vm that is not renewed vanishes; 0 keeps it.
     */
    explicit standin_platform(milliseconds list_lag, milliseconds vm_keep = default_vm_keep);
    ~standin_platform();
    standin_platform(const standin_platform&) = delete;
    standin_platform& operator=(const standin_platform&) = delete;

    /** Listens and serves. @param port 0 takes a free one. @return the port. @throws
     * std::runtime_error */
    int start(const std::string& address, int port);
    void stop();
    void set_faults(const platform_faults& faults);
    [[nodiscard]] platform_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/** Parses faults from JSON; absent fields mean no fault. @throws invalid_input */
platform_faults parse_platform_faults(const std::string& text);

} // namespace sniperock
