/** @file member_incarnation.cpp Incarnations that grow with each start of a vm's process. */
#include "member_incarnation.hpp"

#include <algorithm>

namespace sniperock {
namespace {

constexpr unsigned random_bits = 20;

} // namespace

incarnation new_incarnation(const std::string& vm, const std::vector<vm_record>& listed,
                            wall_time now, std::uint64_t random)
{
    const auto since_epoch = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    const auto started = static_cast<std::uint64_t>(since_epoch.count()) << random_bits;
    incarnation life{started | (random & ((1U << random_bits) - 1))};
    for (const auto& record : listed) {
        if (record.name == vm) {
            life.value = std::max(life.value, record.incarnation + 1);
        }
    }
    return life;
}

} // namespace sniperock
