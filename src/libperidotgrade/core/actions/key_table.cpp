// Started and sealed keys, with a bounded cache of answers.
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

KeyTable::KeyTable(std::uint64_t keepAnswerBytes, std::size_t maxKeys)
    : keepAnswerBytes(keepAnswerBytes)
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

void KeyTable::seal(const IdempotencyKey& key) { this->insert(key, KeyState::Sealed); }

void KeyTable::insert(const IdempotencyKey& key, KeyState state)
{
    bool isNew = !this->keys.find(key) && !this->keys.isForgotten(key);
    checkInvariant(isNew, Invariant::ActionAtMostOnce, key.raw());
    this->keys.insert(key, Entry { state, std::nullopt });
    // Raising the floor keeps the promise where dropping single keys would not.
    while (this->keys.size() > this->maxKeys)
        this->forgetUpTo(this->keys.oldest());
}

void KeyTable::finish(const IdempotencyKey& key, KeyState state)
{
    if (Entry* entry = this->keys.find(key))
        entry->state = state;
}

void KeyTable::recordAnswer(const IdempotencyKey& key, ApplicationAnswer answer)
{
    this->finish(key, KeyState::Answered);
    Entry* entry = this->keys.find(key);
    if (!entry)
        return;
    this->answerBytes += sizeOf(answer);
    entry->answer = std::move(answer);
    this->answered.push_back(key);
    this->dropOldAnswers();
}

void KeyTable::recordLost(const IdempotencyKey& key) { this->finish(key, KeyState::Lost); }

void KeyTable::recordNotSent(const IdempotencyKey& key) { this->finish(key, KeyState::Sealed); }

const ApplicationAnswer* KeyTable::answerOf(const IdempotencyKey& key) const
{
    const Entry* entry = this->keys.find(key);
    return entry && entry->answer ? &*entry->answer : nullptr;
}

void KeyTable::dropOldAnswers()
{
    while (this->answerBytes > this->keepAnswerBytes && !this->answered.empty()) {
        Entry* entry = this->keys.find(this->answered.front());
        if (entry && entry->answer) {
            this->answerBytes -= sizeOf(*entry->answer);
            entry->answer.reset();
        }
        this->answered.pop_front();
    }
}

void KeyTable::forgetUpTo(WallTime time)
{
    this->keys.forgetUpTo(time, [this](const IdempotencyKey& key) {
        if (const ApplicationAnswer* answer = this->answerOf(key))
            this->answerBytes -= sizeOf(*answer);
    });
    while (!this->answered.empty() && !this->keys.find(this->answered.front()))
        this->answered.pop_front();
}

} // namespace peridotgrade
