/** @file plugin.hpp Registries in which plug-ins enter their factories before main starts. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <ranges>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** No plug-in of that name is registered. */
class unknown_plugin : public std::runtime_error {
public:
    explicit unknown_plugin(const std::string& name)
        : std::runtime_error("no plug-in named " + name)
    {
    }
};

/**
 * The factories of every plug-in that implements @p Interface.
 * @tparam Interface the abstract class that the plug-ins implement.
 * @tparam Args what a factory is given.
 */
template <typename Interface, typename... Args>
class plugin_registry {
public:
    using factory = std::function<std::unique_ptr<Interface>(Args...)>;

    /** The one registry of this interface. */
    static plugin_registry& instance()
    {
        static plugin_registry registry;
        return registry;
    }

    /** Enters @p make under @p name; a later entry of the same name is ignored. */
    void add(std::string name, factory make)
    {
        factories_.emplace(std::move(name), std::move(make));
    }

    /** Makes the plug-in called @p name. @throws unknown_plugin if there is none. */
    [[nodiscard]] std::unique_ptr<Interface> make(std::string_view name, Args... args) const
    {
        const auto found = factories_.find(name);
        if (found == factories_.end()) {
            throw unknown_plugin(std::string{name});
        }
        return found->second(std::forward<Args>(args)...);
    }

    /** Names of all plug-ins, sorted. */
    [[nodiscard]] std::vector<std::string> names() const
    {
        const auto keys = std::views::keys(factories_);
        return {keys.begin(), keys.end()};
    }

private:
    std::map<std::string, factory, std::less<>> factories_;
};

/** Enters a factory into the registry of @p Interface when constructed; use one static object per
 * plug-in. */
template <typename Interface, typename... Args>
class plugin_registration {
public:
    plugin_registration(std::string name,
                        typename plugin_registry<Interface, Args...>::factory make)
    {
        plugin_registry<Interface, Args...>::instance().add(std::move(name), std::move(make));
    }
};

} // namespace sniperock
