#include "control/EntryCodec.hpp"

#include "core/WireArchive.hpp"

#include <algorithm>
#include <cereal/types/set.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>

namespace redwing {

using std::chrono::milliseconds;

template<typename Archive>
void
serialize(Archive& aArchive, Header& aHeader)
{
  aArchive(aHeader.name_, aHeader.value_);
}

template<typename Archive>
void
serialize(Archive& aArchive, StoredResponse& aResponse)
{
  aArchive(aResponse.status_, aResponse.headers_, aResponse.body_);
}

namespace {

std::int64_t
RemainingMs(TimePoint aExpiry, TimePoint aNow)
{
  return std::max<std::int64_t>(0,
                                std::chrono::duration_cast<milliseconds>(aExpiry - aNow).count());
}

/// Wire format of an IdempotencyEntry.
struct WireEntry
{
  IdempotencyKey key_;
  std::uint64_t fingerprint_ = 0;
  std::uint8_t state_ = 0;
  bool hasResponse_ = false;
  StoredResponse response_;
  std::int64_t remainingMs_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(key_.shard_,
             key_.workspace_,
             key_.key_,
             fingerprint_,
             state_,
             hasResponse_,
             response_,
             remainingMs_);
  }
};

/// Wire format of a QuarantineEntry.
struct WireQuarantine
{
  std::string service_;
  std::uint64_t fingerprint_ = 0;
  std::set<std::string> crashes_;
  std::int64_t remainingMs_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_, fingerprint_, crashes_, remainingMs_);
  }
};

/// Converts a remaining time to an expiry. The remaining time is limited to one day, since larger
/// values can overflow the time point.
TimePoint
ExpiryOf(std::int64_t aRemainingMs, TimePoint aNow)
{
  constexpr std::int64_t kMaxRemainingMs = milliseconds(std::chrono::hours(24)).count();
  return aNow + milliseconds(std::clamp<std::int64_t>(aRemainingMs, 0, kMaxRemainingMs));
}

} // namespace

std::string
EncodeEntries(std::span<const IdempotencyEntry> aEntries, TimePoint aNow)
{
  std::vector<WireEntry> wire;
  wire.reserve(aEntries.size());
  for (const IdempotencyEntry& entry : aEntries) {
    wire.push_back({ entry.key_,
                     entry.fingerprint_,
                     static_cast<std::uint8_t>(entry.state_),
                     entry.response_.has_value(),
                     entry.response_.value_or(StoredResponse{}),
                     RemainingMs(entry.expiry_, aNow) });
  }
  return WriteWire(wire);
}

std::optional<std::vector<IdempotencyEntry>>
DecodeEntries(std::string_view aBytes, TimePoint aNow)
{
  std::vector<WireEntry> wire;
  if (!ReadWire(aBytes, wire)) {
    return std::nullopt;
  }
  std::vector<IdempotencyEntry> entries;
  entries.reserve(wire.size());
  for (WireEntry& item : wire) {
    if (item.state_ > static_cast<std::uint8_t>(IdempotencyState::Abandoned)) {
      return std::nullopt;
    }
    IdempotencyEntry entry;
    entry.key_ = std::move(item.key_);
    entry.fingerprint_ = item.fingerprint_;
    entry.state_ = static_cast<IdempotencyState>(item.state_);
    if (item.hasResponse_) {
      entry.response_ = std::move(item.response_);
    }
    entry.expiry_ = ExpiryOf(item.remainingMs_, aNow);
    entries.push_back(std::move(entry));
  }
  return entries;
}

std::string
EncodeQuarantine(const QuarantineEntry& aEntry, TimePoint aNow)
{
  std::set<std::string> crashes;
  for (const auto& [crash, time] : aEntry.crashes_) {
    crashes.insert(crash);
  }
  return WriteWire(WireQuarantine{
    aEntry.service_, aEntry.fingerprint_, std::move(crashes), RemainingMs(aEntry.expiry_, aNow) });
}

std::optional<QuarantineEntry>
DecodeQuarantine(std::string_view aBytes, TimePoint aNow)
{
  WireQuarantine wire;
  if (!ReadWire(aBytes, wire)) {
    return std::nullopt;
  }
  QuarantineEntry entry;
  entry.service_ = std::move(wire.service_);
  entry.fingerprint_ = wire.fingerprint_;
  for (const std::string& crash : wire.crashes_) {
    entry.crashes_.emplace(crash, aNow);
  }
  entry.expiry_ = ExpiryOf(wire.remainingMs_, aNow);
  return entry;
}

} // namespace redwing
