/** @file random_type.hpp Seeded random numbers, passed by constructor so that runs can be repeated.
 */
#pragma once

#include <cstdint>
#include <random>

namespace sniperock {

/** The random engine used everywhere; seed it explicitly. */
using random_engine = std::mt19937_64;

/** A seed from the operating system, for processes that need no repetition. */
std::uint64_t random_seed();

} // namespace sniperock
