/** @file peer_replay.cpp Refuses messages that were seen before, in bounded memory. */
#include "peer_replay.hpp"

#include <algorithm>

namespace sniperock {

replay_verdict replay_window::accept(const peer_identity& from, std::uint64_t sequence)
{
    auto& sender = senders_[from.vm];
    if (from.life < sender.life) {
        return replay_verdict::old_life;
    }
    if (sender.life < from.life) {
        sender = {};
        sender.life = from.life;
    }
    if (sequence + width <= sender.newest) {
        return replay_verdict::too_old;
    }
    const auto ahead = sequence > sender.newest ? sequence - sender.newest : 0;
    for (std::uint64_t step = 1; step <= std::min<std::uint64_t>(ahead, width); ++step) {
        sender.seen.reset((sender.newest + step) % width);
    }
    sender.newest = std::max(sender.newest, sequence);
    if (sender.seen.test(sequence % width)) {
        return replay_verdict::repeated;
    }
    sender.seen.set(sequence % width);
    return replay_verdict::fresh;
}

} // namespace sniperock
