/** @file event_test.cpp The event table and the page generated from it. */
#include "event_type.hpp"
#include "table/event_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

using namespace sniperock;

TEST_CASE("event numbers and names are unique")
{
    std::set<event> numbers;
    std::set<std::string_view> names;
    for (const auto& row : event_table) {
        CHECK(numbers.insert(row.number).second);
        CHECK(names.insert(row.name).second);
    }
}

TEST_CASE("the catalogue page matches the table")
{
    std::ifstream file(SNIPEROCK_SOURCE_DIR "/docs/EVENTS.md");
    std::ostringstream page;
    page << file.rdbuf();
    CHECK(page.str() == event_catalogue());
}
