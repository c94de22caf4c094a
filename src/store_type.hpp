/** @file store_type.hpp What the platform's object store offers. */
#pragma once

#include "clock_type.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Version of one object; grows with each write. 0 stands for an object that does not exist. */
using object_version = std::uint64_t;

/** Largest value of an object, in bytes. */
inline constexpr std::size_t max_object_bytes = 1'048'576;

/** An object as read. */
struct store_object {
    std::string value;
    object_version version = 0;
};

/** How a conditional write ended. */
enum class put_status {
    /** Written. */
    accepted,
    /** Not written: the object had another version. */
    conflict,
    /** Not written: the store did not take the request. */
    unavailable,
    /** The reply was lost; the write may or may not have taken effect. */
    unsure,
};

/** Result of a conditional write. */
struct put_result {
    put_status status = put_status::unavailable;
    /** The new version if accepted, the present one if known. */
    object_version version = 0;
};

/** State of a vm in the platform's lagging list. */
enum class vm_state { live, leaving };

/** One vm of the platform's list. */
struct vm_record {
    std::string name;
    std::string failure_domain;
    std::string peer_endpoint;
    std::string caller_endpoint;
    std::string admin_endpoint;
    std::uint64_t incarnation = 0;
    vm_state state = vm_state::live;
};

/** The store did not answer a read, a watch or a listing. */
class store_unavailable : public std::runtime_error {
public:
    explicit store_unavailable(const std::string& what) : std::runtime_error(what) {}
};

/**
 * The object store as the product uses it.
 * get, watch and list_vms throw store_unavailable; put reports through its result.
 */
template <typename T>
concept object_store = requires(T& store, const std::string& key, const std::string& value,
                                object_version version, milliseconds wait) {
    {
        store.get(key)
    } -> std::same_as<std::optional<store_object>>;
    {
        store.put(key, value, version)
    } -> std::same_as<put_result>;
    {
        store.watch(key, version, wait)
    } -> std::same_as<std::optional<store_object>>;
    {
        store.list_vms()
    } -> std::same_as<std::vector<vm_record>>;
};

/** An object store that also removes objects; remove throws store_unavailable. */
template <typename T>
concept removable_object_store =
    object_store<T> && requires(T& store, const std::string& key) { store.remove(key); };

} // namespace sniperock
