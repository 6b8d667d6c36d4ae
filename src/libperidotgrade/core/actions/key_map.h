// A map from idempotency keys that forgets by the keys' own time and knows what it may have forgotten.
#pragma once

#include "peridotgrade/core/actions/idempotency_key.h"

#include <map>
#include <unordered_map>

namespace peridotgrade {

/// Both tables that decide about actions, the agent's and the fold of the claims, must never take a forgotten
/// key for a new one. Forgetting by the time inside the key instead of the time of insertion gives that
/// without trust in any clock: what is forgotten is everything up to a floor that only rises.
template <typename Value> class KeyMap {
public:
    /// True if the key may have been here and been forgotten, or has no time to judge it by.
    bool isForgotten(const IdempotencyKey& key) const
    {
        auto time = timeOf(key);
        return !time || *time <= this->floor;
    }

    Value* find(const IdempotencyKey& key)
    {
        auto found = this->values.find(key);
        return found == this->values.end() ? nullptr : &found->second;
    }

    const Value* find(const IdempotencyKey& key) const
    {
        auto found = this->values.find(key);
        return found == this->values.end() ? nullptr : &found->second;
    }

    /// The key must be neither present nor forgotten.
    Value& insert(const IdempotencyKey& key, Value value)
    {
        this->byTime.emplace(timeOf(key).value_or(this->floor), key);
        return this->values.emplace(key, std::move(value)).first->second;
    }

    /// Forgets the keys whose time is `time` or earlier; `onForget(key)` is called for each.
    template <typename OnForget> void forgetUpTo(WallTime time, OnForget onForget)
    {
        if (time <= this->floor)
            return;
        this->floor = time;
        while (!this->byTime.empty() && this->byTime.begin()->first <= this->floor) {
            onForget(this->byTime.begin()->second);
            this->values.erase(this->byTime.begin()->second);
            this->byTime.erase(this->byTime.begin());
        }
    }

    void forgetUpTo(WallTime time)
    {
        this->forgetUpTo(time, [](const IdempotencyKey&) {});
    }

    std::size_t size() const { return this->values.size(); }

    /// Time of the oldest key. The map must not be empty.
    WallTime oldest() const { return this->byTime.begin()->first; }

private:
    /// Invariant: never falls, and no key at or below it is in the map.
    WallTime floor = WallTime::min();
    std::unordered_map<IdempotencyKey, Value> values;
    /// Invariant: holds exactly the keys of `values`.
    std::multimap<WallTime, IdempotencyKey> byTime;
};

} // namespace peridotgrade
