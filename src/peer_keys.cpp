/** @file peer_keys.cpp The shared keys that authenticate messages between entry vms. */
#include "peer_keys.hpp"
#include "finding_type.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sniperock {
namespace {

constexpr std::size_t least_secret_bytes = 16;

} // namespace

const peer_key* peer_keys::find(std::string_view id) const
{
    const auto found = std::ranges::find(keys_, id, &peer_key::id);
    return found == keys_.end() ? nullptr : &*found;
}

peer_keys parse_peer_keys(std::string_view text, const std::string& source)
{
    std::vector<peer_key> keys;
    finding_list findings;
    std::istringstream lines{std::string{text}};
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        std::istringstream words(line);
        peer_key key;
        std::string rest;
        if (!(words >> key.id) || key.id.front() == '#') {
            continue;
        }
        const bool two_words = (words >> key.secret) && !(words >> rest);
        if (!two_words) {
            findings.push_back({source, number, "", "needs a key's name and its secret"});
        }
        else if (key.secret.size() < least_secret_bytes) {
            findings.push_back({source, number, key.id,
                                "the secret needs at least " + std::to_string(least_secret_bytes) +
                                    " characters"});
        }
        else if (std::ranges::find(keys, key.id, &peer_key::id) != keys.end()) {
            findings.push_back({source, number, key.id, "is given twice"});
        }
        else {
            keys.push_back(std::move(key));
        }
    }
    if (findings.empty() && keys.empty()) {
        findings.push_back({source, 0, "", "holds no key"});
    }
    if (!findings.empty()) {
        throw invalid_input(std::move(findings));
    }
    return peer_keys(std::move(keys));
}

peer_keys load_peer_keys(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw invalid_input({{path, 0, "", "cannot be read"}});
    }
    return parse_peer_keys(text.str(), path);
}

} // namespace sniperock
