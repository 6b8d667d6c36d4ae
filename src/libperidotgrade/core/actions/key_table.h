// The agent's record of started keys and tombstones, with a bounded cache of answers.
#pragma once

#include "key_map.h"

#include <list>

namespace peridotgrade {

/// State of a key in this incarnation of the agent. Only `Running` changes. A key with a `Tombstone` is never
/// started here; entries see it as `ActionState::Sealed`.
enum class KeyState : std::uint8_t { Tombstone, Running, Answered, Lost };

/// Holds each started key and each tombstone, and the newest answers. A key is inserted at most once: it then
/// stays present or is refused as forgotten.
class KeyTable {
public:
    /// The arguments bound the bytes of the cached answers and the number of keys.
    KeyTable(std::uint64_t answerCacheBytes, std::size_t maxKeys);

    std::optional<KeyState> find(const IdempotencyKey& key) const;
    bool isForgotten(const IdempotencyKey& key) const { return this->keys.isForgotten(key); }

    /// The key must be neither present nor forgotten.
    void start(const IdempotencyKey& key);
    void addTombstone(const IdempotencyKey& key);

    /// Results of a running key.
    void recordAnswer(const IdempotencyKey& key, ApplicationAnswer answer);
    void recordLost(const IdempotencyKey& key);
    /// The call was certainly not executed; the key remains as a tombstone.
    void recordNotSent(const IdempotencyKey& key);

    /// The answer if it is still cached.
    const ApplicationAnswer* answerOf(const IdempotencyKey& key) const;

    void forgetUpTo(WallTime time);
    std::size_t size() const { return this->keys.size(); }

private:
    struct Entry {
        KeyState state = KeyState::Tombstone;
        std::optional<ApplicationAnswer> answer;
    };

    void insert(const IdempotencyKey& key, KeyState state);
    void setState(const IdempotencyKey& key, KeyState state);
    void evictOldAnswers();

    const std::uint64_t answerCacheBytes;
    const std::size_t maxKeys;
    KeyMap<Entry> keys;
    /// Keys with a cached answer, oldest answer first; may contain keys that were forgotten since.
    std::list<IdempotencyKey> answerOrder;
    /// Invariant: sum of the sizes of all cached answers; at most `answerCacheBytes` after each call.
    std::uint64_t answerBytes = 0;
};

} // namespace peridotgrade
