/** @file random_type.hpp Seeded random numbers, passed to constructors so that runs are
 * reproducible.
 */
#pragma once

#include <cstdint>
#include <random>

namespace sniperock {

/** The random engine used throughout; seed it explicitly. */
using random_engine = std::mt19937_64;

/** Returns a seed from the operating system, for processes that need not be reproducible. */
std::uint64_t random_seed();

} // namespace sniperock
