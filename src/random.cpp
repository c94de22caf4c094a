/** @file random.cpp Seeds from the operating system. */
#include "random_type.hpp"

namespace sniperock {

std::uint64_t random_seed()
{
    std::random_device device;
    const std::uint64_t high = device();
    return (high << 32U) | device();
}

} // namespace sniperock
