/** @file peer_replay_test.cpp Repeated and outdated messages, and key files. */
#include "finding_type.hpp"
#include "peer_keys.hpp"
#include "peer_replay.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

peer_identity identity(std::uint64_t life)
{
    return {"a", incarnation{life}};
}

} // namespace

TEST_CASE("a message is fresh once, in whatever order it comes")
{
    replay_window window;
    CHECK(window.accept(identity(1), 5) == replay_verdict::fresh);
    CHECK(window.accept(identity(1), 3) == replay_verdict::fresh);
    CHECK(window.accept(identity(1), 3) == replay_verdict::repeated);
    CHECK(window.accept(identity(1), 5) == replay_verdict::repeated);
    CHECK(window.accept(identity(1), 6) == replay_verdict::fresh);
}

TEST_CASE("what fell out of the window is refused, what the window moved over is free again")
{
    replay_window window;
    CHECK(window.accept(identity(1), 1) == replay_verdict::fresh);
    CHECK(window.accept(identity(1), 1 + replay_window::width) == replay_verdict::fresh);
    CHECK(window.accept(identity(1), 1) == replay_verdict::too_old);
    CHECK(window.accept(identity(1), 2) == replay_verdict::fresh);
    CHECK(window.accept(identity(1), 2) == replay_verdict::repeated);
    CHECK(window.accept(identity(1), 100 * replay_window::width) == replay_verdict::fresh);
    CHECK(window.accept(identity(1), 100 * replay_window::width - 1) == replay_verdict::fresh);
}

TEST_CASE("an older incarnation is refused after a newer one")
{
    replay_window window;
    CHECK(window.accept(identity(2), 1) == replay_verdict::fresh);
    CHECK(window.accept(identity(1), 9) == replay_verdict::old_life);
    CHECK(window.accept(identity(3), 1) == replay_verdict::fresh);
    CHECK(window.accept(identity(2), 2) == replay_verdict::old_life);
}

TEST_CASE("the first key of a file signs and all verify")
{
    const auto keys =
        parse_peer_keys("# rotated\nnew 0123456789abcdef\n\nold fedcba9876543210\n", "keys");
    CHECK(keys.signing().id == "new");
    REQUIRE(keys.find("old") != nullptr);
    CHECK(keys.find("old")->secret == "fedcba9876543210");
    CHECK(keys.find("none") == nullptr);
}

TEST_CASE("every fault of a key file is found with its line")
{
    try {
        parse_peer_keys("a short\nb 0123456789abcdef extra\nc 0123456789abcdef\n"
                        "c 0123456789abcdef\n",
                        "keys");
        FAIL("no finding");
    }
    catch (const invalid_input& fault) {
        REQUIRE(fault.findings().size() == 3);
        CHECK(fault.findings()[0].line == 1);
        CHECK(fault.findings()[1].line == 2);
        CHECK(fault.findings()[2].line == 4);
    }
    CHECK_THROWS_AS(parse_peer_keys("# nothing\n", "keys"), invalid_input);
}
