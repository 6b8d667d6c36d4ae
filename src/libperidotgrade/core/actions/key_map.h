// A map of idempotency keys that forgets by creation time and can tell a forgotten key from a new one.
#pragma once

#include "peridotgrade/core/actions/idempotency_key.h"

#include <map>
#include <unordered_map>

namespace peridotgrade {

/// The agent's key table and the replica of the claims both decide about actions, and must never take a
/// forgotten key for a new one. Forgetting by the creation time in the key instead of the insertion time
/// ensures that without trust in any clock: exactly the keys up to a floor, which only rises, are forgotten.
template <typename Value> class KeyMap {
public:
    /// True if the key may have been present and forgotten, or has no creation time.
    bool isForgotten(const IdempotencyKey& key) const
    {
        auto time = creationTimeOf(key);
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
        this->byTime.emplace(creationTimeOf(key).value_or(this->floor), key);
        return this->values.emplace(key, std::move(value)).first->second;
    }

    /// Forgets the keys created at or before `time`; `onForget(key)` is called for each.
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

    /// Creation time of the oldest key. The map must not be empty.
    WallTime oldest() const { return this->byTime.begin()->first; }

private:
    /// Invariant: never decreases, and no key at or below it is in the map.
    WallTime floor = WallTime::min();
    std::unordered_map<IdempotencyKey, Value> values;
    /// Invariant: holds exactly the keys of `values`.
    std::multimap<WallTime, IdempotencyKey> byTime;
};

} // namespace peridotgrade
