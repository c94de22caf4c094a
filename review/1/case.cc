/** @file case.cc One odd entry of another writer in the registry ends the process of every VM,
 * again after each start.
 *
 * The variable ODD chooses the entry: deep (as above), number or surrogate. With the last two, all
 * processes are killed once after the entry is written, and none serves again. */
#include "../lab.hh"

using namespace lab;

namespace {

/** Depth of the arrays in the entry; it stays under max_value_bytes (1,048,576). */
constexpr std::size_t depth = 400'000;
/** RULES.md, Faults: three ends on a tenth of the machines, two at least. */
constexpr int ends_allowed = 2;
constexpr long observed_ms = 20'000;
/** RULES.md, Recovery. */
constexpr long recover_ms = 15'000;

/** What stands in the field of the entry. */
std::string odd_value(const std::string& kind)
{
    if (kind == "number") {
        return "1e999";
    }
    return kind == "surrogate" ? R"("\ud800")" : std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

int main(int, char** argv)
{
    deployment site(argv[1], {});
    const char* const chosen = std::getenv("ODD");
    const std::string kind = chosen == nullptr ? "deep" : chosen;
    const bool final_fault = kind != "deep";
    for (int i = 0; i < 6; ++i) {
        site.add_instance("order-desk", 2).work_ms = [](const message&) { return 160L; };
    }
    site.configure({{"job-confirm", "/confirm/", "non_idempotent", 1500, 400, 1, "order-desk", 2}});
    site.start();

    std::atomic<bool> done{false};
    std::atomic<int> answered_before{0};
    std::atomic<int> answered_after{0};
    std::atomic<int> cut_off{0};
    std::atomic<int> sent_after{0};
    /** Tries are counted as later ones from this time on. */
    std::atomic<long> counted_from{-1};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 6; ++i) {
        clients.emplace_back([&, i] {
            const auto at = site.vms.at(i % site.vms.size());
            while (!done) {
                connection peer;
                message answer;
                const auto id = random_id();
                const bool after = counted_from >= 0 && now_ms() > counted_from;
                sent_after += after ? 1 : 0;
                if (!peer.connect(at.ip, site.front_port())) {
                    sleep_ms(100);
                    continue;
                }
                peer.send(deployment::request("POST", "/confirm/1", id, 3000, "{}"));
                const bool complete = peer.read(answer, 3500) && answer.complete;
                if (complete && answer.status() == 200) {
                    ++(after ? answered_after : answered_before);
                }
                if (!complete && site.run_of(id)) {
                    ++cut_off;
                    record("booking %s ran and its connection ended without an answer", id.c_str());
                }
                sleep_ms(20);
            }
        });
    }
    sleep_ms(3000);
    // Another writer's entry: a field of another type.
    site.platform->odd = odd_value(kind);
    if (deployment::trouble()) {
        site.platform->put("servers", "i-other", {{"note", store::odd_mark}});
        record("another writer's entry i-other is in the registry (%s, %zu bytes)", kind.c_str(),
               site.platform->odd.size());
    }
    if (final_fault) {
        sleep_ms(2000);
        for (const auto& item : site.vms) {
            ::kill(item.pid, SIGKILL);
        }
        record("SIGKILL to all VMs");
        sleep_ms(200);
        for (auto& item : site.vms) {
            site.restart_if_ended(item);
        }
    }
    const long written = now_ms();
    counted_from = written + (final_fault ? recover_ms : 1000);
    std::map<std::string, int> ends;
    while (now_ms() < counted_from + observed_ms) {
        for (auto& item : site.vms) {
            const auto how = site.restart_if_ended(item);
            if (!how.empty()) {
                ++ends[item.name];
                record("the process of %s has ended by itself: %s; it is started again",
                       item.name.c_str(), how.c_str());
            }
        }
        sleep_ms(50);
    }
    done = true;
    for (auto& client : clients) {
        client.join();
    }
    int machines = 0;
    for (const auto& [name, count] : ends) {
        record("%s: %d ends", name.c_str(), count);
        machines += count > ends_allowed ? 1 : 0;
    }
    record("bookings answered before: %d, later: %d of %d tries; run and cut off: %d",
           answered_before.load(), answered_after.load(), sent_after.load(), cut_off.load());
    if (machines >= 2) {
        end_case(broken, "Fault: processes ended by themselves three times or more on " +
                             std::to_string(machines) + " of 3 machines; " +
                             std::to_string(cut_off) + " bookings were cut off");
    }
    if (answered_before == 0 || sent_after == 0) {
        end_case(not_run, "no booking was answered");
    }
    if (final_fault && answered_after * 4 < sent_after) {
        end_case(broken, "RECOVER: " + std::to_string(answered_after) + " of " +
                             std::to_string(sent_after) +
                             " bookings were served later than recover_s after the machines were "
                             "back");
    }
    end_case(held, "no process ended by itself three times");
}
