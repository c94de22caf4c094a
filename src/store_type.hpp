/** @file store_type.hpp Objects, failures and the client concept of the platform's store. */
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
    /** Null for kinds without one, and unless it is read. */
    nlohmann::json status{};
    /** When the object was created, as the store states it; empty unless it is read. */
    std::string created_at{};
};

/** All objects of a kind. */
struct store_listing {
    std::vector<stored_object> objects;
    /** The store's revision as of the listing; a watch starts after it. */
    store_revision at_revision;
};

/** One change of an object. */
struct store_event {
    stored_object object;
    bool deleted = false;
};

/** Result of a watch call. */
struct store_changes {
    std::vector<store_event> events;
    /** The next watch starts after this revision. */
    store_revision at_revision;
};

/** Why a store call failed. */
enum class store_failure {
    /** No answer, or an answer saying that the call was not executed. */
    unavailable,
    /** The calls exceed the store's rate limit. */
    over_rate,
    /** The store no longer has the history that a watch requested, or was restored since. */
    history_gone,
    /** The object already exists, or its revision differs from the given one. */
    conflict,
    /** The object does not exist. */
    not_found,
    /** The answer cannot be parsed. */
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

/** Thrown when a store call fails. */
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

/** Required freshness of a listing or a watch. */
enum class read_mode {
    /** Current as of the call. */
    fresh,
    /** May be seconds old, and older than an earlier answer; cheaper for the store. */
    stale,
};

template <>
inline constexpr std::array enum_names<read_mode>{
    enum_name<read_mode>{read_mode::fresh, "fresh"},
    enum_name<read_mode>{read_mode::stale, "stale"},
};

/** A client of the store. Calls throw store_error. */
template <typename T>
concept object_store = requires(T& store, const std::string& kind, store_revision after,
                                milliseconds wait, const nlohmann::json& spec) {
    {
        store.list(kind, read_mode::fresh)
    } -> std::same_as<task<store_listing>>;
    {
        store.watch(kind, after, wait, read_mode::fresh)
    } -> std::same_as<task<store_changes>>;
    {
        store.create(kind, kind, spec)
    } -> std::same_as<task<>>;
    // The newest era in which the store has answered.
    {
        store.newest_era()
    } -> std::same_as<store_era>;
    // The pending watch of the kind fails.
    store.cancel_watch(kind);
    // Pending calls fail.
    store.drop_connections();
};

} // namespace sniperock
