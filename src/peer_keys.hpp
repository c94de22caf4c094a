/** @file peer_keys.hpp The shared keys that authenticate messages between entry vms. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** One shared key and the name by which messages refer to it. */
struct peer_key {
    std::string id;
    std::string secret;
};

/** Keys in use: the first signs, all verify; so a key can be added, then moved up, then removed. */
class peer_keys {
public:
    explicit peer_keys(std::vector<peer_key> keys) : keys_(std::move(keys)) {}

    /** The key that signs. */
    [[nodiscard]] const peer_key& signing() const { return keys_.front(); }
    /** The key called @p id; null if there is none. */
    [[nodiscard]] const peer_key* find(std::string_view id) const;

private:
    std::vector<peer_key> keys_;
};

/**
 * Parses a key file: a line for each key, `ID SECRET`; empty lines and lines that begin with # are
 * skipped.
 * @param source name used in findings.
 * @throws invalid_input with every faulty line, or if there is no key.
 */
peer_keys parse_peer_keys(std::string_view text, const std::string& source);

/** Reads a key file. @throws invalid_input also if it cannot be read. */
peer_keys load_peer_keys(const std::string& path);

} // namespace sniperock
