/** @file config_fake_store.hpp An object store in memory with faults chosen by the test. */
#pragma once

#include "store_type.hpp"

#include <functional>
#include <map>
#include <string>

namespace sniperock {

/** Objects in memory; a test sets what goes wrong. */
struct fake_store {
    std::optional<store_object> get(const std::string& key)
    {
        ++reads;
        if (down) {
            throw store_unavailable("down");
        }
        const auto found = objects.find(key);
        return found == objects.end() ? std::nullopt : std::optional{found->second};
    }

    put_result put(const std::string& key, const std::string& value, object_version expected)
    {
        if (down) {
            return {put_status::unavailable, 0};
        }
        if (before_put) {
            before_put(key);
        }
        const bool is_head = key == "config/head";
        if (is_head && unsent_writes > 0) {
            --unsent_writes;
            down = down_after_loss;
            return {put_status::unsure, 0};
        }
        const auto present = objects.contains(key) ? objects[key].version : 0;
        if (present != expected) {
            return {put_status::conflict, present};
        }
        objects[key] = {value, present + 1};
        ++writes;
        if (is_head && lost_replies > 0) {
            --lost_replies;
            down = down_after_loss;
            return {put_status::unsure, 0};
        }
        return {put_status::accepted, present + 1};
    }

    std::optional<store_object> watch(const std::string& key, object_version after, milliseconds)
    {
        auto object = get(key);
        return object && object->version > after ? object : std::nullopt;
    }

    std::vector<vm_record> list_vms() { return {}; }

    void remove(const std::string& key)
    {
        if (down) {
            throw store_unavailable("down");
        }
        objects.erase(key);
    }

    std::map<std::string, store_object> objects;
    bool down = false;
    /** Writes of the head that take effect and whose reply is lost. */
    int lost_replies = 0;
    /** Writes of the head that are lost on the way. */
    int unsent_writes = 0;
    /** After a lost reply the store answers nothing. */
    bool down_after_loss = false;
    /** Runs before each write. */
    std::function<void(const std::string& key)> before_put;
    int reads = 0;
    int writes = 0;
};

static_assert(removable_object_store<fake_store>);

} // namespace sniperock
