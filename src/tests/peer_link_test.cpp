/** @file peer_link_test.cpp Messages between two links. */
#include "peer_link.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace sniperock;

TEST_CASE("a message arrives whole, one under another key is dropped")
{
    peer_link receiver({"b", incarnation{2}},
                       peer_keys(std::vector<peer_key>{{"k", "key"}, {"old", "former key"}}));
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<peer_message> messages;
    receiver.subscribe(peer_message_kind::heartbeat, [&](const peer_message& message) {
        const std::lock_guard lock(mutex);
        messages.push_back(message);
        arrived.notify_all();
    });
    receiver.start("127.0.0.1", 0);
    const std::string endpoint = "127.0.0.1:" + std::to_string(receiver.port());
    const auto send_until = [&](peer_link& sender, auto done) {
        sender.set_peers({{"b", endpoint}});
        while (!done()) {
            sender.send("b", peer_message_kind::heartbeat, "hello");
            std::unique_lock lock(mutex);
            arrived.wait_for(lock, std::chrono::milliseconds{5});
        }
    };
    peer_link stranger({"x", incarnation{9}}, peer_keys(std::vector<peer_key>{{"k", "other key"}}));
    send_until(stranger, [&] { return receiver.counts().dropped > 0; });
    CHECK(receiver.counts().dropped_by_reason.at(static_cast<std::size_t>(peer_drop::wrong_tag)) >
          0);
    peer_link sender({"a", incarnation{1}},
                     peer_keys(std::vector<peer_key>{{"old", "former key"}}));
    send_until(sender, [&] { return receiver.counts().received > 0; });
    const std::lock_guard lock(mutex);
    REQUIRE_FALSE(messages.empty());
    CHECK(messages.front().from == peer_identity{"a", incarnation{1}});
    CHECK(messages.front().payload == "hello");
    CHECK_FALSE(sender.send("nobody", peer_message_kind::heartbeat, ""));
}
