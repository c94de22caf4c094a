/** @file standin_platform.hpp Stand-in for the platform: object store, watches and the list of vms.
 */
#pragma once

#include "clock_type.hpp"
#include "store_type.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
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
};

/** Calls served, by kind. */
struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
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
    /** Wakes every watch for good. */
    void stop();

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, store_object> objects_;
    bool stopped_ = false;
};

/** Serves the object store's HTTP interface on a thread of its own. */
class standin_platform {
public:
    /** @param list_lag how late the list of vms shows changes. */
    explicit standin_platform(milliseconds list_lag);
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

} // namespace sniperock
