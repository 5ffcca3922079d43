#include "Process/CrashRegistry.h"

#include <Poco/SHA2Engine.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace poplardock {

namespace {

constexpr std::size_t CRASHES_FOR_REFUSAL = 2;
constexpr std::chrono::minutes CRASH_RETENTION { 10 };
/// Bounds the size of peer messages. One crash of an upstream records up to a few hundred running requests at once.
constexpr std::size_t MAXIMUM_FINGERPRINTS = 2048;
constexpr std::size_t FINGERPRINT_LENGTH = 64;
constexpr std::size_t MAXIMUM_ID_LENGTH = 256;

auto isExpired(TimePoint at, TimePoint now) -> bool
{
    return now - at >= CRASH_RETENTION;
}

} // namespace

auto crashFingerprint(const std::string &team, const std::string &path, const std::string &body) -> std::string
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    // The length prefixes keep different requests from hashing the same text.
    engine.update(absl::StrCat(team.size(), ":", team, path.size(), ":", path));
    engine.update(body);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

CrashRegistry::CrashRegistry(std::string origin)
    : origin_(std::move(origin))
{
}

auto CrashRegistry::evictExpired(TimePoint now) -> void
{
    for (auto &[fingerprint, crashes] : crashes_) {
        std::erase_if(crashes, [now](const auto &crash) { return isExpired(crash.second, now); });
    }
    std::erase_if(crashes_, [](const auto &entry) { return entry.second.empty(); });
}

auto CrashRegistry::add(const std::string &fingerprint, const std::string &id, TimePoint at, TimePoint now) -> void
{
    if (isExpired(at, now)) {
        return;
    }
    if (crashes_.size() >= MAXIMUM_FINGERPRINTS && !crashes_.contains(fingerprint)) {
        return;
    }
    Crashes &crashes = crashes_[fingerprint];
    if (crashes.contains(id)) {
        return;
    }
    crashes.emplace(id, at);
    if (crashes.size() > CRASHES_FOR_REFUSAL) {
        // Further crashes do not change the refusal; drop the oldest, which expires first.
        crashes.erase(std::min_element(crashes.begin(), crashes.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

auto CrashRegistry::recordCrash(const std::string &fingerprint, TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    evictExpired(now);
    add(fingerprint, absl::StrCat(origin_, "/", ++lastId_), now, now);
}

auto CrashRegistry::crashCount(const std::string &fingerprint, TimePoint now) const -> int
{
    const std::lock_guard lock(mutex_);
    const auto found = crashes_.find(fingerprint);
    if (found == crashes_.end()) {
        return 0;
    }
    return static_cast<int>(
        std::count_if(found->second.begin(), found->second.end(), [now](const auto &crash) { return !isExpired(crash.second, now); }));
}

auto CrashRegistry::isRefused(const std::string &fingerprint, TimePoint now) const -> bool
{
    return crashCount(fingerprint, now) >= static_cast<int>(CRASHES_FOR_REFUSAL);
}

auto CrashRegistry::toJson(TimePoint now) const -> JsonObject::Ptr
{
    JsonObject::Ptr object = new JsonObject;
    const std::lock_guard lock(mutex_);
    for (const auto &[fingerprint, crashes] : crashes_) {
        JsonObject::Ptr entry = new JsonObject;
        for (const auto &[id, at] : crashes) {
            if (!isExpired(at, now)) {
                entry->set(id, std::chrono::duration_cast<Milliseconds>(now - at).count());
            }
        }
        if (entry->size() > 0) {
            object->set(fingerprint, entry);
        }
    }
    return object;
}

auto CrashRegistry::merge(const JsonObject &object, TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    evictExpired(now);
    for (const std::string &fingerprint : object.getNames()) {
        const auto entry = Json::requireObject(object, fingerprint);
        if (!entry.ok() || fingerprint.size() != FINGERPRINT_LENGTH) {
            continue;
        }
        for (const std::string &id : (*entry)->getNames()) {
            const auto ageMs = Json::requireInteger(**entry, id);
            if (ageMs.ok() && *ageMs >= 0 && *ageMs < Milliseconds(CRASH_RETENTION).count() && id.size() <= MAXIMUM_ID_LENGTH) {
                add(fingerprint, id, now - Milliseconds(*ageMs), now);
            }
        }
    }
}

} // namespace poplardock
