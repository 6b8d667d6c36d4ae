// The agent's table of actions: the point of no return.
#pragma once

#include "key_map.h"

#include <list>

namespace peridotgrade {

/// What became of a key at this run of the agent. Only `Running` changes.
enum class KeyState : std::uint8_t { Tombstone, Running, Answered, Lost };

/// Holds each key that was started or sealed, and the newest answers. A key enters once and for good: it is
/// either present or refused as forgotten.
class KeyTable {
public:
    /// Bounds the answers kept, in bytes, and the keys.
    KeyTable(std::uint64_t keepAnswerBytes, std::size_t maxKeys);

    std::optional<KeyState> find(const IdempotencyKey& key) const;
    bool isForgotten(const IdempotencyKey& key) const { return this->keys.isForgotten(key); }

    /// The key must be absent and not forgotten.
    void start(const IdempotencyKey& key);
    void addTombstone(const IdempotencyKey& key);

    /// Ends of a running key.
    void recordAnswer(const IdempotencyKey& key, ApplicationAnswer answer);
    void recordLost(const IdempotencyKey& key);
    /// The call was surely not made; the key stays unusable here.
    void recordNotSent(const IdempotencyKey& key);

    /// The answer if it is still kept.
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

    const std::uint64_t keepAnswerBytes;
    const std::size_t maxKeys;
    KeyMap<Entry> keys;
    /// Keys with a kept answer, oldest answer first; may name keys that were forgotten since.
    std::list<IdempotencyKey> answerOrder;
    /// Invariant: sum of the sizes of all kept answers; at most `keepAnswerBytes` after each call.
    std::uint64_t answerBytes = 0;
};

} // namespace peridotgrade
