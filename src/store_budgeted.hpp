/** @file store_budgeted.hpp An object store whose calls are counted and held to a budget. */
#pragma once

#include "metrics.hpp"
#include "store_budget.hpp"
#include "store_type.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <utility>

namespace sniperock {

/** The budget of one vm, shared by all of its users of the store. Thread-safe. */
class shared_store_budget {
public:
    shared_store_budget(store_budget_limits limits, local_time now, metrics& measured);

    /** As store_budget::take. */
    nanoseconds take(store_priority priority, local_time now);
    /** Counts a call. */
    void count(store_priority priority, store_call call);
    /** Counts a call that was refused because the budget is short. */
    void count_refused();

private:
    std::mutex mutex_;
    store_budget budget_;
    metrics& measured_;
    std::array<std::array<prometheus::Counter*, 4>, 3> counters_{};
    prometheus::Counter* refused_ = nullptr;
};

/**
 * Calls another store within a budget. A call that has no token waits for one, up to @ref
 * max_wait, and then fails as if the store did not answer.
 */
template <removable_object_store Store, clock_source Clock>
class budgeted_store {
public:
    static constexpr milliseconds max_wait{2'000};

    /** @param pause sleeps while there is no token. */
    budgeted_store(Store& store, shared_store_budget& budget, const Clock& clock,
                   store_priority priority, std::function<void(nanoseconds)> pause)
        : store_(store), budget_(budget), clock_(clock), priority_(priority),
          pause_(std::move(pause))
    {
    }

    std::optional<store_object> get(const std::string& key)
    {
        enter(store_call::read);
        return store_.get(key);
    }

    put_result put(const std::string& key, const std::string& value, object_version expected)
    {
        if (!admit(store_call::write)) {
            return {put_status::unavailable, 0};
        }
        return store_.put(key, value, expected);
    }

    std::optional<store_object> watch(const std::string& key, object_version after,
                                      milliseconds wait)
    {
        enter(store_call::watch);
        return store_.watch(key, after, wait);
    }

    std::vector<vm_record> list_vms()
    {
        enter(store_call::list);
        return store_.list_vms();
    }

    void remove(const std::string& key)
    {
        enter(store_call::write);
        store_.remove(key);
    }

private:
    void enter(store_call call)
    {
        if (!admit(call)) {
            throw store_unavailable("the budget of store calls is used up");
        }
    }

    bool admit(store_call call)
    {
        nanoseconds waited{0};
        for (auto wait = budget_.take(priority_, clock_.now()); wait > nanoseconds{0};
             wait = budget_.take(priority_, clock_.now())) {
            waited += wait;
            if (waited > max_wait) {
                budget_.count_refused();
                return false;
            }
            pause_(wait);
        }
        budget_.count(priority_, call);
        return true;
    }

    Store& store_;
    shared_store_budget& budget_;
    const Clock& clock_;
    store_priority priority_;
    std::function<void(nanoseconds)> pause_;
};

} // namespace sniperock
