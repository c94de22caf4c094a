/** @file config_difference.cpp Differences of two snapshots as lines of text. */
#include "config_difference.hpp"
#include "config_func.hpp"

#include <map>

namespace sniperock {
namespace {

/** Each element as text, by what it is called. */
using element_texts = std::map<std::string, std::string>;

element_texts element_texts_of(const config_snapshot& snapshot)
{
    element_texts texts;
    for (const auto& item : snapshot.plans) {
        texts["plan " + item.name] = format_plans({item});
    }
    for (const auto& item : snapshot.allowances) {
        texts["allowance of " + item.plan + " for " + item.service] = format_allowances({item});
    }
    for (const auto& item : snapshot.services) {
        auto bare = item;
        bare.servers.clear();
        texts["service " + item.name] = format_services({bare});
        for (const auto& server : item.servers) {
            bare.servers = {server};
            texts["server " + item.name + "/" + server.name] = format_services({bare});
        }
    }
    for (const auto& item : snapshot.admins) {
        texts["admin " + item.name] = format_admins({item});
    }
    for (const auto& name : snapshot.out.domains_out) {
        texts["failure domain " + name + " out"] = "";
    }
    for (const auto& name : snapshot.out.vms_out) {
        texts["vm " + name + " out"] = "";
    }
    return texts;
}

} // namespace

std::vector<std::string> list_differences(const config_snapshot& before,
                                          const config_snapshot& after)
{
    const auto old_texts = element_texts_of(before);
    const auto new_texts = element_texts_of(after);
    std::vector<std::string> lines;
    for (const auto& [name, text] : old_texts) {
        const auto found = new_texts.find(name);
        if (found == new_texts.end()) {
            lines.push_back("- " + name);
        }
        else if (found->second != text) {
            lines.push_back("~ " + name);
        }
    }
    for (const auto& [name, text] : new_texts) {
        if (!old_texts.contains(name)) {
            lines.push_back("+ " + name);
        }
    }
    return lines;
}

} // namespace sniperock
