#include "membership/Gossip.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <bit>

namespace redwing {

namespace {

/// With a fan-out of 3 each instance sends a fact 3 times per doubling of the fleet; what a loss
/// leaves behind is repaired by digests.
constexpr std::uint32_t kRoundsPerDoubling = 1;
/// Keeps the request short in small fleets, and the reply short in large ones.
constexpr std::size_t kFactsPerDigest = 16;
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
    const Fact& fact = FactOf(key);
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
    Fact& fact = FactOf(item.key_);
    if (--fact.roundsLeft_ > 0) {
      later.emplace_back(fact.roundsLeft_, item.key_);
    }
  }
  spreading_.insert(later.begin(), later.end());
  return items;
}

std::vector<std::uint32_t>
Gossip::Folded(std::size_t aCount) const
{
  std::vector<std::uint32_t> digests(aCount);
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    digests[i % aCount] ^= buckets_[i].digest_;
  }
  return digests;
}

std::vector<std::uint32_t>
Gossip::BucketDigests() const
{
  return Folded(
    std::clamp(std::bit_ceil(Size() / kFactsPerDigest + 1), std::size_t{ 1 }, kBuckets));
}

std::vector<GossipItem>
Gossip::ItemsDiffering(std::span<const std::uint32_t> aTheirs,
                       std::uint64_t aStart,
                       std::size_t aMaxBytes) const
{
  if (aTheirs.empty() || aTheirs.size() > kBuckets || kBuckets % aTheirs.size() != 0) {
    return {};
  }
  const std::vector<std::uint32_t> own = Folded(aTheirs.size());
  std::vector<GossipItem> items;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    const std::size_t at = (aStart + i) % buckets_.size();
    if (aTheirs[at % own.size()] == own[at % own.size()]) {
      continue;
    }
    for (const auto& [key, fact] : buckets_[at].facts_) {
      GossipItem item{ key, fact.version_, fact.payload_ };
      bytes += SizeOf(item);
      if (bytes > aMaxBytes) {
        return items;
      }
      items.push_back(std::move(item));
    }
  }
  return items;
}

std::size_t
Gossip::Size() const
{
  std::size_t size = 0;
  for (const Bucket& bucket : buckets_) {
    size += bucket.facts_.size();
  }
  return size;
}

void
Gossip::Remove(const std::function<bool(std::string_view aKey)>& aExpired)
{
  for (Bucket& bucket : buckets_) {
    for (auto fact = bucket.facts_.begin(); fact != bucket.facts_.end();) {
      if (!aExpired(fact->first)) {
        ++fact;
        continue;
      }
      Toggle(bucket, fact->first, fact->second.version_);
      spreading_.erase({ fact->second.roundsLeft_, fact->first });
      fact = bucket.facts_.erase(fact);
    }
  }
}

Gossip::Bucket&
Gossip::BucketOf(std::string_view aKey)
{
  return buckets_[HashBytes(aKey) % buckets_.size()];
}

Gossip::Fact&
Gossip::FactOf(const std::string& aKey)
{
  return BucketOf(aKey).facts_.find(aKey)->second;
}

void
Gossip::Toggle(Bucket& aBucket, std::string_view aKey, GossipVersion aVersion)
{
  const std::uint64_t hash = HashOf(aKey, aVersion);
  digest_ ^= hash;
  aBucket.digest_ ^= static_cast<std::uint32_t>(hash);
}

bool
Gossip::Adopt(const GossipItem& aItem, std::uint32_t aRounds)
{
  Bucket& bucket = BucketOf(aItem.key_);
  const auto [place, inserted] = bucket.facts_.try_emplace(aItem.key_);
  Fact& fact = place->second;
  if (!inserted && fact.version_ >= aItem.version_) {
    return false;
  }
  if (!inserted) {
    Toggle(bucket, aItem.key_, fact.version_);
  }
  Toggle(bucket, aItem.key_, aItem.version_);
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
