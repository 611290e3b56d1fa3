#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Spread of small facts (members, shard rows, poison fingerprints) to all instances.
namespace redwing {

/// Orders the versions of one fact: first by incarnation or token, then by a counter.
struct GossipVersion
{
  std::uint64_t major_ = 0;
  std::uint64_t minor_ = 0;

  auto operator<=>(const GossipVersion&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(major_, minor_);
  }
};

struct GossipItem
{
  std::string key_;
  GossipVersion version_;
  std::string payload_;

  bool operator==(const GossipItem&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(key_, version_, payload_);
  }
};

/// Holds the newest version of each fact and decides what to send.
///
/// A new fact is sent in a limited number of rounds (about log2 of the number of members), with a
/// fan-out chosen by the caller. A digest of all facts lets two instances notice that one lacks
/// something; then digests of parts show which facts differ.
class Gossip
{
public:
  /// Called for each fact that is new or newer than the one held.
  using OnNewer = std::function<void(const GossipItem& aItem)>;

  explicit Gossip(OnNewer aOnNewer);

  /// Sets or replaces a fact of this instance's own; ignored unless its version is newer.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Publish(const GossipItem& aItem);

  /// As Publish, without sending the fact in rounds. For facts read from a place where the others
  /// have them from as well: at the design scale, rounds for all rows that an instance reads when
  /// it joins would take hours. Whoever lacks such a fact notices it by the digest.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Record(const GossipItem& aItem);

  /// Adopts the items that are newer than those held, and sends them on in rounds.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Merge(std::span<const GossipItem> aItems);

  /// As Merge, without sending the items on: they come from the reply to a pull, and whoever else
  /// lacks them pulls as well.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void MergePulled(std::span<const GossipItem> aItems);

  /// Sets the number of members, from which the number of sending rounds follows.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetFleetSize(std::size_t aMembers);

  /// Returns the items to send to each partner of this round, at most aMaxBytes in all; those sent
  /// least often come first.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<GossipItem> TakeRound(std::size_t aMaxBytes);

  /// Returns a hash over all keys and versions; equal digests mean equal facts.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint64_t Digest() const { return digest_; }

  /// Returns one hash over the keys and versions of each bucket of facts; the key's hash chooses
  /// the bucket. Their number grows with the facts. Together they are far shorter than a list of
  /// all versions.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<std::uint32_t> BucketDigests() const;

  /// Returns the facts in buckets whose digest differs from aTheirs, at most aMaxBytes in all,
  /// beginning with bucket aStart, so that calls with random starts reach every bucket. Returns
  /// nothing if the number of digests is not one that BucketDigests produces.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<GossipItem> ItemsDiffering(std::span<const std::uint32_t> aTheirs,
                                         std::uint64_t aStart,
                                         std::size_t aMaxBytes) const;

  /// Returns the number of facts held.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::size_t Size() const;

  /// Removes facts for which aExpired returns true. They do not come back unless someone still
  /// sends them, so a fact is removed only after it has expired everywhere.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Remove(const std::function<bool(std::string_view aKey)>& aExpired);

private:
  struct Fact
  {
    GossipVersion version_;
    std::string payload_;
    std::uint32_t roundsLeft_ = 0;
  };

  /// 17 facts in each at 4,000 members and 65,536 rows.
  static constexpr std::size_t kBuckets = 4096;

  struct Bucket
  {
    std::uint32_t digest_ = 0;
    std::map<std::string, Fact, std::less<>> facts_;
  };

  /// Digests of aCount groups of buckets.
  std::vector<std::uint32_t> Folded(std::size_t aCount) const;
  Bucket& BucketOf(std::string_view aKey);
  Fact& FactOf(const std::string& aKey);
  void Toggle(Bucket& aBucket, std::string_view aKey, GossipVersion aVersion);
  bool Adopt(const GossipItem& aItem, std::uint32_t aRounds);
  static std::uint64_t HashOf(std::string_view aKey, GossipVersion aVersion);

  OnNewer onNewer_;
  std::uint32_t rounds_ = 1;
  std::uint64_t digest_ = 0;
  std::vector<Bucket> buckets_{ kBuckets };
  /// Rounds left and key of the facts that have rounds left; most rounds first.
  std::set<std::pair<std::uint32_t, std::string>, std::greater<>> spreading_;
};

} // namespace redwing
