/** @file case.cc A planned stop cuts off requests that the VM has accepted and passed on.
 *
 * SIGTERM at a VM. Clients that keep the directory's answer three times as long as it says connect
 * to it some seconds later, as PROTOCOL.md allows, and send bookings, which run at instances. Other
 * clients have kept connections, on which they send a further request before the last one is
 * answered; the VM never tells them to stop. */
#include "../lab.hh"

using namespace lab;

namespace {

/** Sheet of job-confirm in the grown deployment of Ishikari Stencil Works. */
constexpr long timeout_ms = 2500;
constexpr long deadline_ms = 5000;
constexpr long longest_work_ms = 1700;
/** Sheet of order-look there. */
constexpr long look_timeout_ms = 2000;
constexpr long look_deadline_ms = 4000;
constexpr long look_work_ms = 170;

struct outcome {
    std::string id;
    long sent_ms = 0;
    long ended_ms = 0;
    int status = 0;
    bool complete = false;
};

/** A kept connection with one request or two on their way at any time.
 * @return the requests that were not answered when the connection ended. */
std::vector<outcome> send_further_requests(const deployment& site, const vm& at, int number,
                                           long until, std::atomic<int>& answered)
{
    connection peer;
    std::vector<outcome> waiting;
    message answer;
    if (!peer.connect(at.ip, site.front_port())) {
        return waiting;
    }
    const auto send = [&] {
        waiting.push_back({random_id(), now_ms()});
        peer.send(deployment::request("GET", "/look/" + std::to_string(number), waiting.back().id,
                                      look_deadline_ms));
    };
    send();
    sleep_ms(look_work_ms / 2);
    while (now_ms() < until) {
        send();
        if (!peer.read(answer, look_deadline_ms) || !answer.complete) {
            break;
        }
        waiting.erase(waiting.begin());
        ++answered;
        if (answer.header("connection")) {
            // What was sent behind this answer counts as not read.
            return {};
        }
    }
    for (auto& item : waiting) {
        item.ended_ms = now_ms();
    }
    return now_ms() < until ? waiting : std::vector<outcome>{};
}

} // namespace

int main(int, char** argv)
{
    const bounds limits;
    deployment site(argv[1], limits);
    for (int i = 0; i < 12; ++i) {
        site.add_instance("order-desk", 2).work_ms = [](const message& request) {
            return request.method() == "POST" ? longest_work_ms : look_work_ms;
        };
    }
    site.configure(
        {{"job-confirm", "/confirm/", "non_idempotent", timeout_ms, 600, 1, "order-desk", 2},
         {"order-look", "/look/", "idempotent", look_timeout_ms, 500, 2, "order-desk", 2}});
    site.start();

    const auto& stopped = site.vms.at(1);
    const auto cached = site.ask_directory(stopped);
    record("directory before SIGTERM: %s", cached.dump().c_str());
    const bool named =
        cached.is_object() && cached.dump().find(site.front_of(stopped)) != std::string::npos;
    if (!named) {
        end_case(not_run, "the directory does not name the VM");
    }
    // Some clients keep an answer three times as long as it says.
    const long asked = now_ms();
    const long kept_ms = static_cast<long>(cached.at("ttl_s").get<double>() * 3000);

    std::atomic<int> looks_answered{0};
    std::vector<std::vector<outcome>> unanswered(4);
    std::vector<std::thread> keeping;
    const long looks_until = now_ms() + 1000 + (limits.grace_s + 1) * 1000;
    for (std::size_t i = 0; i < unanswered.size(); ++i) {
        keeping.emplace_back([&, i] {
            unanswered.at(i) = send_further_requests(site, stopped, static_cast<int>(i),
                                                     looks_until, looks_answered);
        });
    }
    sleep_ms(1000);

    const long term = now_ms();
    if (deployment::trouble()) {
        ::kill(stopped.pid, SIGTERM);
        record("SIGTERM to %s", stopped.name.c_str());
    }
    std::vector<outcome> outcomes(8);
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        clients.emplace_back([&, i] {
            auto& result = outcomes.at(i);
            sleep_ms(term + 3200 + static_cast<long>(i) * 80 - now_ms());
            if (now_ms() - asked > kept_ms) {
                return;
            }
            connection peer;
            if (!peer.connect(stopped.ip, site.front_port())) {
                record("client %zu: connection refused", i);
                return;
            }
            result.id = random_id();
            peer.send(deployment::request("POST", "/confirm/" + std::to_string(i), result.id,
                                          deadline_ms, "{\"job\":1}"));
            result.sent_ms = now_ms();
            record("client %zu sent %s, %ld ms after the signal", i, result.id.c_str(),
                   result.sent_ms - term);
            message answer;
            if (peer.read(answer, deadline_ms)) {
                result.status = answer.status();
                result.complete = answer.complete;
            }
            result.ended_ms = now_ms();
            record("client %zu: %s after %ld ms: status %d%s", i, result.id.c_str(),
                   result.ended_ms - result.sent_ms, result.status,
                   result.complete ? "" : ", the connection ended without a complete answer");
        });
    }
    for (auto& client : clients) {
        client.join();
    }
    for (auto& client : keeping) {
        client.join();
    }
    int answered = 0;
    int lost = 0;
    for (const auto& item : outcomes) {
        answered += item.complete && item.status == 200 ? 1 : 0;
        const auto run = item.id.empty() ? std::nullopt : site.run_of(item.id);
        const bool sent_late = item.sent_ms - term > 3000;
        const bool planned = item.ended_ms - term <= (limits.grace_s + 1) * 1000;
        const bool in_time = item.ended_ms - item.sent_ms < timeout_ms;
        if (run && !item.complete && sent_late && planned && in_time) {
            ++lost;
        }
    }
    int looks_lost = 0;
    for (const auto& list : unanswered) {
        for (const auto& item : list) {
            const bool passed_on = site.run_of(item.id).has_value();
            const bool sent_late = item.sent_ms - term > 3000;
            const bool planned = item.ended_ms - term <= (limits.grace_s + 1) * 1000;
            const bool in_time = item.ended_ms - item.sent_ms < look_timeout_ms;
            record(
                "look %s, sent %ld ms after the signal on a kept connection: no answer when that "
                "ended, %ld ms after the signal%s",
                item.id.c_str(), item.sent_ms - term, item.ended_ms - term,
                passed_on ? "; it had been passed on" : "");
            looks_lost += passed_on && sent_late && planned && in_time ? 1 : 0;
        }
    }
    record("bookings answered: %d; lost after they had been passed on: %d", answered, lost);
    record("looks answered: %d; lost after they had been passed on: %d", looks_answered.load(),
           looks_lost);
    if (lost > 0 || looks_lost > 0) {
        end_case(broken, "LOST: " + std::to_string(lost) + " bookings and " +
                             std::to_string(looks_lost) + " looks ran and were cut off");
    }
    if (answered == 0 || looks_answered == 0) {
        end_case(not_run, "no booking or no look was answered");
    }
    end_case(held, "no request was cut off");
}
