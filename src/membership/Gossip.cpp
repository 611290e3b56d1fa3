#include "membership/Gossip.hpp"

#include "core/Hash.hpp"

#include <bit>

namespace redwing {

namespace {

constexpr std::uint32_t kRoundsPerDoubling = 3;
/// Encoding overhead of an item besides key and payload.
constexpr std::size_t kItemOverheadBytes = 32;

std::size_t
SizeOf(const GossipItem& aItem)
{
  return aItem.key_.size() + aItem.payload_.size() + kItemOverheadBytes;
}

} // namespace

Gossip::Gossip(OnNewer aOnNewer)
  : onNewer_(std::move(aOnNewer))
{
  SetFleetSize(1);
}

void
Gossip::Publish(const GossipItem& aItem)
{
  Adopt(aItem, rounds_);
}

void
Gossip::Record(const GossipItem& aItem)
{
  Adopt(aItem, 0);
}

void
Gossip::Merge(std::span<const GossipItem> aItems)
{
  for (const GossipItem& item : aItems) {
    if (Adopt(item, rounds_)) {
      onNewer_(item);
    }
  }
}

void
Gossip::MergePulled(std::span<const GossipItem> aItems)
{
  for (const GossipItem& item : aItems) {
    if (Adopt(item, 0)) {
      onNewer_(item);
    }
  }
}

void
Gossip::SetFleetSize(std::size_t aMembers)
{
  rounds_ = kRoundsPerDoubling * static_cast<std::uint32_t>(std::bit_width(aMembers + 1));
}

std::vector<GossipItem>
Gossip::TakeRound(std::size_t aMaxBytes)
{
  std::vector<GossipItem> items;
  std::size_t bytes = 0;
  for (const auto& [rounds, key] : spreading_) {
    const Fact& fact = facts_.find(key)->second;
    GossipItem item{ key, fact.version_, fact.payload_ };
    if (bytes + SizeOf(item) > aMaxBytes) {
      break;
    }
    bytes += SizeOf(item);
    items.push_back(std::move(item));
  }
  std::vector<std::pair<std::uint32_t, std::string>> later;
  for (const GossipItem& item : items) {
    spreading_.erase(spreading_.begin());
    Fact& fact = facts_.find(item.key_)->second;
    if (--fact.roundsLeft_ > 0) {
      later.emplace_back(fact.roundsLeft_, item.key_);
    }
  }
  spreading_.insert(later.begin(), later.end());
  return items;
}

std::vector<GossipItem>
Gossip::NewerThan(std::span<const GossipItem> aTheirVersions, std::size_t aMaxBytes) const
{
  std::map<std::string_view, GossipVersion> theirs;
  for (const GossipItem& item : aTheirVersions) {
    theirs.emplace(item.key_, item.version_);
  }
  std::vector<GossipItem> items;
  std::size_t bytes = 0;
  for (const auto& [key, fact] : facts_) {
    const auto found = theirs.find(key);
    if (found != theirs.end() && found->second >= fact.version_) {
      continue;
    }
    GossipItem item{ key, fact.version_, fact.payload_ };
    bytes += SizeOf(item);
    if (bytes > aMaxBytes) {
      break;
    }
    items.push_back(std::move(item));
  }
  return items;
}

std::vector<GossipItem>
Gossip::Versions() const
{
  std::vector<GossipItem> items;
  items.reserve(facts_.size());
  for (const auto& [key, fact] : facts_) {
    items.push_back({ key, fact.version_, {} });
  }
  return items;
}

void
Gossip::Remove(const std::function<bool(std::string_view aKey)>& aExpired)
{
  for (auto fact = facts_.begin(); fact != facts_.end();) {
    if (!aExpired(fact->first)) {
      ++fact;
      continue;
    }
    digest_ ^= HashOf(fact->first, fact->second.version_);
    spreading_.erase({ fact->second.roundsLeft_, fact->first });
    fact = facts_.erase(fact);
  }
}

bool
Gossip::Adopt(const GossipItem& aItem, std::uint32_t aRounds)
{
  const auto [place, inserted] = facts_.try_emplace(aItem.key_);
  Fact& fact = place->second;
  if (!inserted && fact.version_ >= aItem.version_) {
    return false;
  }
  if (!inserted) {
    digest_ ^= HashOf(aItem.key_, fact.version_);
  }
  digest_ ^= HashOf(aItem.key_, aItem.version_);
  spreading_.erase({ fact.roundsLeft_, aItem.key_ });
  if (aRounds > 0) {
    spreading_.emplace(aRounds, aItem.key_);
  }
  fact = { aItem.version_, aItem.payload_, aRounds };
  return true;
}

std::uint64_t
Gossip::HashOf(std::string_view aKey, GossipVersion aVersion)
{
  std::string bytes(aKey);
  bytes.push_back('\0');
  bytes += std::to_string(aVersion.major_);
  bytes.push_back('.');
  bytes += std::to_string(aVersion.minor_);
  return HashBytes(bytes);
}

} // namespace redwing
