/** @file pch.hpp Large third-party headers, precompiled once; sources still include what they use.
 */
#pragma once

#include <asio.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ranges>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>
