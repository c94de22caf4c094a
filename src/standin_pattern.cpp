/** @file standin_pattern.cpp Body bytes that follow from a seed. */
#include "standin_pattern.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace sniperock {
namespace {

constexpr std::size_t word_bytes = sizeof(std::uint64_t);

/** The eight bytes of a body at word @p index; a step of the splitmix64 generator. */
std::uint64_t pattern_word(std::uint64_t seed, std::uint64_t index)
{
    std::uint64_t value = seed + (index + 1) * 0x9E3779B97F4A7C15ULL;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    return value ^ (value >> 27U);
}

} // namespace

std::uint64_t pattern_seed(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

void fill_pattern(std::span<char> out, std::uint64_t seed, std::uint64_t offset)
{
    std::size_t done = 0;
    while (done < out.size()) {
        const std::uint64_t word = pattern_word(seed, (offset + done) / word_bytes);
        const std::size_t skip = (offset + done) % word_bytes;
        const std::size_t count = std::min(word_bytes - skip, out.size() - done);
        std::array<char, word_bytes> bytes{};
        std::memcpy(bytes.data(), &word, word_bytes);
        std::memcpy(out.data() + done, bytes.data() + skip, count);
        done += count;
    }
}

bool matches_pattern(std::string_view bytes, std::uint64_t seed, std::uint64_t offset)
{
    constexpr std::size_t block_bytes = 4096;
    std::array<char, block_bytes> block{};
    for (std::size_t done = 0; done < bytes.size(); done += block_bytes) {
        const auto part = bytes.substr(done, block_bytes);
        fill_pattern({block.data(), part.size()}, seed, offset + done);
        if (std::memcmp(block.data(), part.data(), part.size()) != 0) {
            return false;
        }
    }
    return true;
}

} // namespace sniperock
