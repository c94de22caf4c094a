/** @file standin_server_test.cpp Each fault of a stand-in server as a caller sees it. */
#include "finding_type.hpp"
#include "standin_control.hpp"
#include "standin_fleet.hpp"
#include "standin_pattern.hpp"
#include "standin_range.hpp"

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <future>

using namespace sniperock;

namespace {

constexpr seconds long_time{20};

/** One stand-in server on a free port. */
class running_server {
public:
    explicit running_server(server_behaviour behaviour = {})
        : fleet_(make_options(std::move(behaviour))), port_(fleet_.start().front().port)
    {
    }
    [[nodiscard]] httplib::Client client() const
    {
        httplib::Client made("127.0.0.1", port_);
        made.set_keep_alive(true);
        made.set_read_timeout(long_time);
        return made;
    }
    standin_server& server() { return *fleet_.servers().front(); }
    [[nodiscard]] const run_ledger& ledger() const { return fleet_.ledger(); }

    /** Sends a command and waits until it is carried out. */
    void command(const std::string& json) const
    {
        auto control = client();
        const auto answer = control.Post(server_path::control, json, "application/json");
        REQUIRE(answer);
        REQUIRE(answer->status == 200);
    }
    /** Waits until the record shows what @p seen asks for. */
    void wait_for(const std::function<bool(const server_record&)>& seen)
    {
        while (!seen(server().record())) {
            std::this_thread::sleep_for(milliseconds{1});
        }
    }

private:
    static fleet_options make_options(server_behaviour behaviour)
    {
        fleet_options options;
        options.first_port = 0;
        behaviour.probe_time = microseconds{0};
        options.behaviour = std::move(behaviour);
        return options;
    }

    standin_fleet fleet_;
    int port_;
};

server_behaviour instant()
{
    server_behaviour behaviour;
    behaviour.service_time = microseconds{0};
    return behaviour;
}

/** A server whose calls run until they are ended from outside. */
server_behaviour endless()
{
    server_behaviour behaviour;
    behaviour.service_time = std::chrono::hours{1000};
    return behaviour;
}

std::string unix_us_from_now(milliseconds time)
{
    return std::to_string(to_unix_us(system_clock_source::wall_now() + time));
}

} // namespace

TEST_CASE("an answer carries the id, the load and a body that belongs to the id")
{
    running_server running(instant());
    auto client = running.client();
    const auto answer = client.Post("/x", {{"X-Request-Id", "r-1"}}, "abc", "text/plain");
    REQUIRE(answer);
    CHECK(answer->get_header_value("X-Request-Id") == "r-1");
    CHECK(answer->get_header_value("X-Server-Load") == "phase=warm;in_flight=0;slots=3");
    CHECK(answer->get_header_value("X-Body-Size") == "3");
    CHECK(answer->body.size() == 1024);
    CHECK(matches_pattern(answer->body, pattern_seed("r-1"), 0));
    CHECK_FALSE(matches_pattern(answer->body, pattern_seed("r-2"), 0));
}

TEST_CASE("a request that may run once and ran twice is a double, over all servers")
{
    run_ledger ledger(1000);
    ledger.note_run({"r-1", "key", true});
    ledger.note_run({"r-2", "key", true});
    ledger.note_run({"r-3", "", true});
    ledger.note_run({"r-4", "", false});
    ledger.note_run({"r-4", "", false});
    CHECK(ledger.totals().once_runs == 3);
    CHECK(ledger.totals().doubles == 1);
    CHECK(ledger.doubled() == std::vector<std::string>{"key"});
    CHECK(ledger.runs_of("r-4") == 2);
    CHECK(ledger.runs_of("r-5") == 0);
}

TEST_CASE("a full ledger says what it left out")
{
    run_ledger ledger(16);
    for (int id = 0; id < 1000; ++id) {
        ledger.note_run({std::to_string(id), "", false});
    }
    CHECK(ledger.totals().dropped > 900);
}

TEST_CASE("a call that arrives after its deadline is not run")
{
    running_server running(instant());
    auto client = running.client();
    const auto late = client.Get(
        "/x", {{"X-Request-Id", "late"}, {"X-Deadline-Us", unix_us_from_now(milliseconds{-1})}});
    REQUIRE(late);
    CHECK(late->status == 504);
    CHECK(late->get_header_value("X-Not-Run") == "1");
    CHECK(running.ledger().runs_of("late") == 0);
}

TEST_CASE("a running call is abandoned at its deadline and not called not run")
{
    running_server running(endless());
    auto client = running.client();
    const auto answer = client.Get(
        "/x", {{"X-Request-Id", "long"}, {"X-Deadline-Us", unix_us_from_now(milliseconds{30})}});
    REQUIRE(answer);
    CHECK(answer->status == 504);
    CHECK_FALSE(answer->has_header("X-Not-Run"));
    CHECK(running.server().record().abandoned == 1);
    CHECK(running.ledger().runs_of("long") == 1);
}

TEST_CASE("a call whose caller goes away ends and frees its slot")
{
    auto behaviour = endless();
    behaviour.slots = 1;
    running_server running(behaviour);
    auto client = running.client();
    std::thread caller([&client] { client.Get("/x"); });
    running.wait_for([](const server_record& record) { return record.in_flight == 1; });
    client.stop();
    caller.join();
    running.wait_for([](const server_record& record) { return record.in_flight == 0; });
    CHECK(running.server().record().cancelled == 1);
}

TEST_CASE("a waiting call that is cancelled never runs")
{
    auto behaviour = endless();
    behaviour.slots = 1;
    running_server running(behaviour);
    auto holder = running.client();
    auto waiter = running.client();
    std::thread held([&holder] { holder.Get("/x"); });
    running.wait_for([](const server_record& record) { return record.in_flight == 1; });
    std::thread waiting([&waiter] { waiter.Get("/x", {{"X-Request-Id", "waiting"}}); });
    running.wait_for([](const server_record& record) { return record.in_flight == 2; });
    waiter.stop();
    waiting.join();
    running.wait_for([](const server_record& record) { return record.in_flight == 1; });
    CHECK(running.ledger().runs_of("waiting") == 0);
    holder.stop();
    held.join();
}

TEST_CASE("a silent connection neither answers nor closes, and new ones work")
{
    running_server running(instant());
    auto old = running.client();
    REQUIRE(old.Get("/x"));
    running.command(R"({"silence": true})");
    old.set_read_timeout(milliseconds{100});
    const auto silent = old.Post("/x", {{"X-Request-Id", "lost"}}, "", "text/plain");
    CHECK(silent.error() == httplib::Error::Read);
    CHECK(running.ledger().runs_of("lost") == 0);
    auto fresh = running.client();
    CHECK(fresh.Get("/x"));
}

TEST_CASE("a server dies before, in, after and in the body of a call")
{
    running_server running(instant());
    const auto run_with = [&](const std::string& point, const std::string& id) {
        running.command(R"({"die": ")" + point + R"("})");
        auto client = running.client();
        return static_cast<bool>(client.Get("/x", {{"X-Request-Id", id}}));
    };
    CHECK_FALSE(run_with("before", "d-before"));
    CHECK(running.ledger().runs_of("d-before") == 0);
    for (const std::string point : {"in", "after", "body"}) {
        CHECK_FALSE(run_with(point, "d-" + point));
        CHECK(running.ledger().runs_of("d-" + point) == 1);
    }
    CHECK(running.server().record().died == 4);
    CHECK(running.server().record().in_flight == 0);
    auto client = running.client();
    CHECK(client.Get("/x"));
}

TEST_CASE("a cold server drops every connection when it falls over")
{
    auto behaviour = endless();
    behaviour.cold_time = std::chrono::hours{1};
    behaviour.down_time = std::chrono::hours{1};
    running_server running(behaviour);
    auto first = running.client();
    auto cut = std::async(std::launch::async, [&first] { return first.Get("/x").error(); });
    running.wait_for([](const server_record& record) { return record.in_flight == 1; });
    auto second = running.client();
    CHECK_FALSE(second.Get("/x"));
    CHECK(cut.get() == httplib::Error::Read);
    auto third = running.client();
    CHECK_FALSE(third.Get("/x"));
    const auto record = running.server().record();
    CHECK(record.fell_over == 1);
    CHECK(record.most_cold_in_flight == 2);
    CHECK(record.down);
}

TEST_CASE("a large body is streamed whole or by range")
{
    running_server running(instant());
    auto client = running.client();
    constexpr std::size_t size = 1'000'003;
    const auto whole = client.Get("/bytes/1000003");
    REQUIRE(whole);
    REQUIRE(whole->body.size() == size);
    const auto tag = whole->get_header_value("ETag");
    CHECK(matches_pattern(whole->body, pattern_seed(tag), 0));
    const auto part = client.Get("/bytes/1000003", {{"Range", "bytes=999-"}, {"If-Range", tag}});
    REQUIRE(part);
    CHECK(part->status == 206);
    CHECK(part->get_header_value("Content-Range") == "bytes 999-1000002/1000003");
    CHECK(part->body == whole->body.substr(999));
    const auto changed =
        client.Get("/bytes/1000003", {{"Range", "bytes=999-"}, {"If-Range", "\"other\""}});
    REQUIRE(changed);
    CHECK(changed->status == 200);
    CHECK(changed->body.size() == size);
    const auto beyond = client.Get("/bytes/10", {{"Range", "bytes=10-"}});
    REQUIRE(beyond);
    CHECK(beyond->status == 416);
}

TEST_CASE("ranges are exact")
{
    const auto range = [](const std::string& text) {
        http_headers headers;
        headers.add("Range", text);
        return choose_range(headers, 100);
    };
    CHECK(range("bytes=0-0")->size == 1);
    CHECK(range("bytes=90-500")->size == 10);
    CHECK(range("bytes=-5")->first == 95);
    CHECK(range("bytes=-500")->size == 100);
    CHECK_FALSE(range("bytes=100-"));
    CHECK_FALSE(range("bytes=7-3"));
    CHECK_FALSE(range("items=0-1")->partial);
    CHECK_FALSE(range("bytes=a-b")->partial);
}

TEST_CASE("probes are counted apart from calls")
{
    running_server running(instant());
    auto client = running.client();
    const auto answer = client.Get(server_path::probe);
    REQUIRE(answer);
    CHECK(answer->get_header_value("X-Server-Load") == "phase=warm;in_flight=0;slots=3");
    const auto record = running.server().record();
    CHECK(record.probes == 1);
    CHECK(record.calls == 0);
}

TEST_CASE("the record tells what ran, and which of some ids did")
{
    running_server running(instant());
    auto client = running.client();
    REQUIRE(client.Post("/x", {{"X-Request-Id", "r"}, {"X-Call-Id", "c"}}, "", "text/plain"));
    const auto record = nlohmann::json::parse(client.Get("/.record?runs=10")->body);
    CHECK(record.at("calls") == 1);
    CHECK(record.at("runs").at(0).at("call_id") == "c");
    CHECK(record.at("process").at("once_runs") == 1);
    const auto ran = nlohmann::json::parse(client.Post("/.ran", "r\ns\n", "text/plain")->body);
    CHECK(ran.at("asked") == 2);
    CHECK(ran.at("ids") == nlohmann::json{"r"});
}

TEST_CASE("a command with faults is refused with all of them")
{
    try {
        parse_server_command(R"({"phase": "hot", "slots": -1, "colour": 3, "shed": true})");
        FAIL("accepted");
    }
    catch (const invalid_input& fault) {
        CHECK(fault.findings().size() == 3);
    }
    CHECK_THROWS_AS(parse_server_command("[]"), invalid_input);
}
