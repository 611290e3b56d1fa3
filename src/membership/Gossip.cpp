#include "membership/Gossip.hpp"

#include "core/Hash.hpp"

#include <algorithm>
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
  Adopt(aItem);
}

void
Gossip::Merge(std::span<const GossipItem> aItems)
{
  for (const GossipItem& item : aItems) {
    if (Adopt(item)) {
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
  std::stable_sort(
    spreading_.begin(), spreading_.end(), [this](const auto& aLeft, const auto& aRight) {
      return facts_.find(aLeft)->second.roundsLeft_ > facts_.find(aRight)->second.roundsLeft_;
    });
  std::vector<GossipItem> items;
  std::size_t bytes = 0;
  for (const std::string& key : spreading_) {
    Fact& fact = facts_.find(key)->second;
    GossipItem item{ key, fact.version_, fact.payload_ };
    if (bytes + SizeOf(item) > aMaxBytes) {
      break;
    }
    bytes += SizeOf(item);
    --fact.roundsLeft_;
    items.push_back(std::move(item));
  }
  std::erase_if(spreading_, [this](const std::string& aKey) {
    return facts_.find(aKey)->second.roundsLeft_ == 0;
  });
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
    std::erase(spreading_, fact->first);
    fact = facts_.erase(fact);
  }
}

bool
Gossip::Adopt(const GossipItem& aItem)
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
  if (fact.roundsLeft_ == 0) {
    spreading_.push_back(aItem.key_);
  }
  fact = { aItem.version_, aItem.payload_, rounds_ };
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
