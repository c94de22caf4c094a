/** @file plugin.hpp Registries in which plug-ins register their factories before main starts. */
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

/** No plug-in with that name is registered. */
class unknown_plugin : public std::runtime_error {
public:
    explicit unknown_plugin(const std::string& name)
        : std::runtime_error("no plug-in named " + name)
    {
    }
};

/**
 * The factories of all plug-ins that implement @p Interface.
 * @tparam Interface the abstract class that the plug-ins implement.
 * @tparam Args argument types of a factory.
 */
template <typename Interface, typename... Args>
class plugin_registry {
public:
    using factory = std::function<std::unique_ptr<Interface>(Args...)>;

    /** The only registry of this interface. */
    static plugin_registry& instance()
    {
        static plugin_registry registry;
        return registry;
    }

    /** Registers @p make as @p name; a later registration of the same name is ignored. */
    void add(std::string name, factory make)
    {
        factories_.emplace(std::move(name), std::move(make));
    }

    /** Creates the plug-in named @p name. @throws unknown_plugin if there is none. */
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

/** Registers a factory in the registry of @p Interface when constructed; use one static object per
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
