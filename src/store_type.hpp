/** @file store_type.hpp Objects of the platform's store and how calls fail. */
#pragma once

#include "async_func.hpp"
#include "enum_table.hpp"
#include "strong_id.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <concepts>
#include <stdexcept>
#include <string>
#include <vector>

namespace sniperock {

/** One object of the store. */
struct stored_object {
    std::string name;
    store_revision revision;
    nlohmann::json spec;
};

/** Every object of a kind. */
struct store_listing {
    std::vector<stored_object> objects;
    /** The store's revision; a watch goes on from here. */
    store_revision at_revision;
};

/** One change of an object. */
struct store_event {
    stored_object object;
    bool deleted = false;
};

/** What a watch has seen. */
struct store_changes {
    std::vector<store_event> events;
    store_revision at_revision;
};

/** Why a store call failed. */
enum class store_failure {
    /** No answer, or one that says that nothing was done. */
    unavailable,
    /** More calls than the store's rate. */
    over_rate,
    /** The history that a watch asked for is gone. */
    history_gone,
    /** The object is there already, or is not the revision that was named. */
    conflict,
    /** There is no such object. */
    not_found,
    /** The answer cannot be read. */
    malformed,
};

template <>
inline constexpr std::array enum_names<store_failure>{
    enum_name<store_failure>{store_failure::unavailable, "unavailable"},
    enum_name<store_failure>{store_failure::over_rate, "over-rate"},
    enum_name<store_failure>{store_failure::history_gone, "history-gone"},
    enum_name<store_failure>{store_failure::conflict, "conflict"},
    enum_name<store_failure>{store_failure::not_found, "not-found"},
    enum_name<store_failure>{store_failure::malformed, "malformed"},
};

/** A store call failed. */
class store_error : public std::runtime_error {
public:
    store_error(store_failure failure, const std::string& what)
        : std::runtime_error(what), failure_(failure)
    {
    }
    [[nodiscard]] store_failure failure() const noexcept { return failure_; }

private:
    store_failure failure_;
};

/** How new the answer to a listing has to be. */
enum class read_mode {
    /** As of the call. */
    fresh,
    /** May be seconds old; costs the store less. */
    stale,
};

/** A client of the store. Calls throw store_error. */
template <typename T>
concept object_store = requires(T& store, const std::string& kind, store_revision at_revision,
                                milliseconds wait, const nlohmann::json& spec) {
    {
        store.list(kind, read_mode::fresh)
    } -> std::same_as<task<store_listing>>;
    {
        store.watch(kind, at_revision, wait)
    } -> std::same_as<task<store_changes>>;
    {
        store.create(kind, kind, spec)
    } -> std::same_as<task<>>;
    // Calls under way fail.
    store.drop_connections();
};

} // namespace sniperock
