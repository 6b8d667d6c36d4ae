// Insertion of keys, their results, and eviction of keys and cached answers.
#include "key_table.h"

#include "peridotgrade/core/base/invariant.h"

namespace peridotgrade {

namespace {

    std::uint64_t sizeOf(const ApplicationAnswer& answer)
    {
        std::uint64_t size = answer.body.size() + answer.contentType.size();
        for (const HeaderField& header : answer.headers)
            size += header.name.size() + header.value.size();
        return size;
    }

} // namespace

KeyTable::KeyTable(std::uint64_t answerCacheBytes, std::size_t maxKeys)
    : answerCacheBytes(answerCacheBytes)
    , maxKeys(maxKeys)
{
}

std::optional<KeyState> KeyTable::find(const IdempotencyKey& key) const
{
    const Entry* entry = this->keys.find(key);
    if (!entry)
        return std::nullopt;
    return entry->state;
}

void KeyTable::start(const IdempotencyKey& key) { this->insert(key, KeyState::Running); }

void KeyTable::addTombstone(const IdempotencyKey& key) { this->insert(key, KeyState::Tombstone); }

void KeyTable::insert(const IdempotencyKey& key, KeyState state)
{
    bool isNew = !this->keys.find(key) && !this->keys.isForgotten(key);
    checkInvariant(isNew, Invariant::ActionAtMostOnce, key.raw());
    this->keys.insert(key, Entry { state, std::nullopt });
    // Raising the floor makes the dropped keys refused; dropping them alone would let them run again.
    while (this->keys.size() > this->maxKeys)
        this->forgetUpTo(this->keys.oldest());
}

void KeyTable::setState(const IdempotencyKey& key, KeyState state)
{
    if (Entry* entry = this->keys.find(key))
        entry->state = state;
}

void KeyTable::recordAnswer(const IdempotencyKey& key, ApplicationAnswer answer)
{
    this->setState(key, KeyState::Answered);
    Entry* entry = this->keys.find(key);
    if (!entry)
        return;
    this->answerBytes += sizeOf(answer);
    entry->answer = std::move(answer);
    this->answerOrder.push_back(key);
    this->evictOldAnswers();
}

void KeyTable::recordLost(const IdempotencyKey& key) { this->setState(key, KeyState::Lost); }

void KeyTable::recordNotSent(const IdempotencyKey& key) { this->setState(key, KeyState::Tombstone); }

const ApplicationAnswer* KeyTable::answerOf(const IdempotencyKey& key) const
{
    const Entry* entry = this->keys.find(key);
    return entry && entry->answer ? &*entry->answer : nullptr;
}

void KeyTable::evictOldAnswers()
{
    while (this->answerBytes > this->answerCacheBytes && !this->answerOrder.empty()) {
        Entry* entry = this->keys.find(this->answerOrder.front());
        if (entry && entry->answer) {
            this->answerBytes -= sizeOf(*entry->answer);
            entry->answer.reset();
        }
        this->answerOrder.pop_front();
    }
}

void KeyTable::forgetUpTo(WallTime time)
{
    this->keys.forgetUpTo(time, [this](const IdempotencyKey& key) {
        if (const ApplicationAnswer* answer = this->answerOf(key))
            this->answerBytes -= sizeOf(*answer);
    });
    while (!this->answerOrder.empty() && !this->keys.find(this->answerOrder.front()))
        this->answerOrder.pop_front();
}

} // namespace peridotgrade
