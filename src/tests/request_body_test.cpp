/** @file request_body_test.cpp Tests of the buffer between a caller that sends a body and its
 * upstream. */
#include "request_body.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr std::size_t piece_size = 16'384;
const std::string piece(piece_size, 'x');

struct body_fixture {
    std::shared_ptr<body_memory> memory = std::make_shared<body_memory>();
    body_ptr body = std::make_shared<request_body>(memory);

    void fill()
    {
        while (!body->full()) {
            body->append(piece);
        }
    }
};

} // namespace

TEST_CASE("a body that is not full is kept whole, whatever was sent on")
{
    body_fixture setup;
    setup.body->append("hello ");
    setup.body->append("world");
    setup.body->release(6);
    setup.body->set_complete();
    setup.body->release(11);
    CHECK(setup.body->replayable());
    CHECK(setup.body->from(0) == "hello world");
    CHECK(setup.body->from(6) == "world");
    CHECK(setup.body->from(11).empty());
}

TEST_CASE("a full body makes room only for what was sent on, and then cannot be sent again")
{
    body_fixture setup;
    int room = 0;
    setup.body->on_room([&] { ++room; });
    setup.fill();
    setup.body->release(0);
    CHECK(room == 0);
    CHECK(setup.body->replayable());
    setup.body->release(piece_size);
    CHECK(room == 1);
    CHECK_FALSE(setup.body->replayable());
    CHECK(setup.body->from(piece_size).size() == request_body::max_kept - piece_size);
}

TEST_CASE("an upstream that reads slowly: a body of any length holds no more than its limit")
{
    body_fixture setup;
    std::size_t sent = 0;
    for (int i = 0; i < 1000; ++i) {
        setup.fill();
        sent += piece_size;
        setup.body->release(sent);
        CHECK(setup.memory->bytes <= request_body::max_kept + piece_size);
    }
    CHECK(setup.body->received() >= 1000 * piece_size);
    setup.body = nullptr;
    CHECK(setup.memory->bytes == 0);
    CHECK(setup.memory->peak_bytes <= request_body::max_kept + piece_size);
}

TEST_CASE("a full body that is complete is kept until it is answered")
{
    body_fixture setup;
    setup.fill();
    setup.body->set_complete();
    setup.body->release(piece_size);
    CHECK(setup.body->replayable());
}

// An upload that was sent again waited until its deadline: the end of the first attempt took away
// the handler of the second.
TEST_CASE("the end of an earlier attempt leaves the handler of the next one")
{
    body_fixture setup;
    int first_calls = 0;
    int second_calls = 0;
    auto first = setup.body->on_received([&] { ++first_calls; });
    const auto second = setup.body->on_received([&] { ++second_calls; });
    first.reset();
    setup.body->append(piece);
    setup.body->set_complete();
    CHECK(first_calls == 0);
    CHECK(second_calls == 2);
}

TEST_CASE("a handler is not called once its owner is gone")
{
    body_fixture setup;
    int calls = 0;
    auto handler = setup.body->on_received([&] { ++calls; });
    handler.reset();
    setup.body->append(piece);
    CHECK(calls == 0);
}
