/** @file store_client.hpp The object store over HTTP. */
#pragma once

#include "store_type.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace sniperock {

/**
 * Calls the platform's object store. Each member may be called from any thread; a watch
 * does not hold up other calls.
 */
class store_client {
public:
    /**
     * @param address the store's IP.
     * @param port the store's port.
     * @param timeout longest wait for one call, watches excepted.
     */
    store_client(std::string address, int port, milliseconds timeout);
    ~store_client();
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;

    /** Reads an object; empty if it does not exist. @throws store_unavailable */
    std::optional<store_object> get(const std::string& key);
    /** Writes an object if its version is still @p expected; 0 creates it. */
    put_result put(const std::string& key, const std::string& value, object_version expected);
    /** Removes an object; one that does not exist is no error. @throws store_unavailable */
    void remove(const std::string& key);
    /** Waits up to @p wait for a version above @p after; empty if none came. @throws
     * store_unavailable */
    std::optional<store_object> watch(const std::string& key, object_version after,
                                      milliseconds wait);
    /** The platform's lagging list of vms. @throws store_unavailable */
    std::vector<vm_record> list_vms();
    /** Enters or renews this vm in the platform's list. @throws store_unavailable */
    void announce_vm(const vm_record& record);
    /** Ends a waiting watch at once; it throws store_unavailable. */
    void cancel_watch();

private:
    struct connection;
    std::string address_;
    int port_;
    milliseconds timeout_;
    std::mutex calls_mutex_;
    std::unique_ptr<connection> calls_;
    std::mutex watch_mutex_;
    std::unique_ptr<connection> watches_;
};

/** A vm record as JSON text. */
std::string format_vm_record(const vm_record& record);
/** Parses a list of vm records. @throws store_unavailable if it is not one. */
std::vector<vm_record> parse_vm_records(const std::string& text);

} // namespace sniperock
