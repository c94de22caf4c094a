/** @file peer_replay.hpp Refuses messages that were seen before, in bounded memory. */
#pragma once

#include "peer_type.hpp"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sniperock {

/** Whether a message may be taken in. */
enum class replay_verdict { fresh, repeated, too_old, old_life };

/**
 * Remembers, for each sender's newest incarnation, which of its latest sequence numbers were
 * seen. Not thread-safe.
 */
class replay_window {
public:
    /** Sequence numbers below the newest by which messages may be out of order. */
    static constexpr std::size_t width = 4096;

    /** Judges a message and, if it is fresh, remembers it. */
    replay_verdict accept(const peer_identity& from, std::uint64_t sequence);

private:
    struct sender_state {
        incarnation life;
        std::uint64_t newest = 0;
        std::bitset<width> seen;
    };
    std::map<std::string, sender_state> senders_;
};

} // namespace sniperock
