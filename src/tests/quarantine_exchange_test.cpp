/** @file quarantine_exchange_test.cpp How fleets of any size learn which requests end upstreams. */
#include "quarantine_exchange.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>

using namespace sniperock;

namespace {

constexpr request_fingerprint poison{0xdead};

/** VMs with a network that delivers, or loses, what they send each other. */
class simulated_fleet {
public:
    explicit simulated_fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            vms_.push_back(std::make_unique<vm>(*this, i));
        }
    }

    request_quarantine& at(std::size_t index) { return vms_[index]->quarantine; }
    /** An upstream ends under the request at a VM; all messages are delivered. */
    void end_upstream(std::size_t index)
    {
        at(index).record_end(poison, {++processes_}, now);
        deliver();
    }
    void answer(std::size_t index)
    {
        at(index).record_answer(poison, now);
        deliver();
    }
    void deliver()
    {
        while (!in_flight_.empty()) {
            const auto [to, from, message] = in_flight_.front();
            in_flight_.pop_front();
            vms_[to]->exchange.receive(message, std::to_string(from), now);
        }
    }
    /** One heartbeat from each VM to one other. */
    void exchange_heartbeats()
    {
        for (std::size_t from = 0; from < vms_.size(); ++from) {
            const auto to = std::uniform_int_distribution<std::size_t>{0, vms_.size() - 1}(random);
            if (to == from || unreachable.contains(to) || unreachable.contains(from)) {
                continue;
            }
            for (const auto& report : at(from).reports(20, random, now)) {
                in_flight_.push_back({to, from, {report, false}});
            }
        }
        deliver();
    }
    [[nodiscard]] std::size_t refusing() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(vms_, [this](const auto& item) {
            return item->quarantine.verdict(poison, now) == quarantine_verdict::refused;
        }));
    }
    [[nodiscard]] std::size_t size() const { return vms_.size(); }

    local_time now{std::chrono::hours{1}};
    random_engine random{1};
    /** VMs that receive and send nothing. */
    std::set<std::size_t> unreachable;
    std::size_t messages = 0;
    /** One message in so many is lost; none if 0. */
    std::size_t lost_one_in = 0;

private:
    struct vm {
        vm(simulated_fleet& fleet, std::size_t index)
            : quarantine({},
                         [this, &fleet](request_fingerprint request) {
                             exchange.announce(request, fleet.now);
                         }),
              exchange(quarantine,
                       {std::to_string(index), [&fleet, index] { return fleet.others(index); },
                        [&fleet, index](const quarantine_message& message,
                                        const std::vector<std::string>& to) {
                            fleet.send(index, message, to);
                        }})
        {
        }
        request_quarantine quarantine;
        quarantine_exchange exchange;
    };
    struct delivery {
        std::size_t to;
        std::size_t from;
        quarantine_message message;
    };

    std::vector<std::string> others(std::size_t index)
    {
        std::vector<std::string> result;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (i != index) {
                result.push_back(std::to_string(i));
            }
        }
        return result;
    }
    void send(std::size_t from, const quarantine_message& message,
              const std::vector<std::string>& to)
    {
        for (const auto& address : to) {
            const std::size_t index = std::stoul(address);
            const bool lost = lost_one_in > 0 && ++messages % lost_one_in == 0;
            messages += lost_one_in > 0 ? 0 : 1;
            if (!lost && !unreachable.contains(index) && !unreachable.contains(from)) {
                in_flight_.push_back({index, from, message});
            }
        }
    }

    std::uint64_t processes_ = 0;
    std::vector<std::unique_ptr<vm>> vms_;
    std::deque<delivery> in_flight_;
};

} // namespace

TEST_CASE("all VMs refuse a request once three upstreams have ended, whichever VMs saw it")
{
    for (const std::size_t size : {1, 2, 3, 13, 473}) {
        simulated_fleet fleet(size);
        fleet.end_upstream(0);
        fleet.end_upstream(size / 2);
        CHECK(fleet.refusing() == 0);
        CHECK(fleet.messages <= 6);
        fleet.end_upstream(size - 1);
        CHECK(fleet.refusing() == size);
        // Each collector tells all others once.
        CHECK(fleet.messages <= 4 * size + 10);
    }
}

TEST_CASE("an answer at one VM clears the request at all VMs")
{
    for (const std::size_t size : {1, 13, 473}) {
        simulated_fleet fleet(size);
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.end_upstream(i % size);
        }
        fleet.now += seconds{1};
        fleet.answer(size / 2);
        CHECK(fleet.refusing() == 0);
    }
}

// Upstreams that end at the same moment all run a request that is sent often; other VMs had it
// answered.
TEST_CASE("a VM that had the request answered lately prevents that the others refuse it")
{
    for (const std::size_t size : {13, 473}) {
        simulated_fleet fleet(size);
        for (std::size_t i = 0; i < size; i += 2) {
            fleet.answer(i);
        }
        fleet.now += seconds{2};
        for (std::size_t i = 1; i < size; i += 2) {
            fleet.end_upstream(i);
        }
        for (int round = 0; round < 10; ++round) {
            fleet.exchange_heartbeats();
        }
        CHECK(fleet.refusing() == 0);
    }
}

TEST_CASE("a trial at one VM is the only one")
{
    for (const std::size_t size : {13, 473}) {
        simulated_fleet fleet(size);
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.end_upstream(i);
        }
        fleet.now += quarantine_settings{}.first_time;
        REQUIRE(fleet.refusing() == 0);
        fleet.at(5).begin_trial(poison, fleet.now);
        fleet.deliver();
        CHECK(fleet.refusing() == size);
        fleet.now += milliseconds{100};
        fleet.end_upstream(5);
        CHECK(fleet.refusing() == size);
        CHECK(fleet.at(0).remaining(poison, fleet.now) >= 2 * quarantine_settings{}.first_time);
    }
}

TEST_CASE("VMs that were out of reach learn of it by heartbeats, in few rounds")
{
    for (const std::size_t size : {13, 473}) {
        simulated_fleet fleet(size);
        for (std::size_t i = 0; i < size; i += 4) {
            fleet.unreachable.insert(i);
        }
        for (std::size_t i = 1; i < 4; ++i) {
            fleet.end_upstream(i);
        }
        for (int round = 0; round < 12; ++round) {
            fleet.exchange_heartbeats();
        }
        CHECK(fleet.refusing() == size - fleet.unreachable.size());
        fleet.unreachable.clear();
        for (int round = 0; round < 12; ++round) {
            fleet.exchange_heartbeats();
        }
        CHECK(fleet.refusing() == size);
    }
}

TEST_CASE("lost messages delay the refusal at single VMs only")
{
    for (const std::size_t size : {13, 473}) {
        simulated_fleet fleet(size);
        fleet.lost_one_in = 10;
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.end_upstream(i);
        }
        CHECK(fleet.refusing() >= size - 1 - size / 50);
        for (int round = 0; round < 12; ++round) {
            fleet.exchange_heartbeats();
        }
        CHECK(fleet.refusing() == size);
    }
}
