#pragma once

#include "limits/SliceMessages.hpp"
#include "membership/ConfigurationFreshness.hpp"
#include "membership/Gossip.hpp"
#include "ownership/Messages.hpp"
#include "ownership/ShardRow.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages that the control threads of instances exchange: datagrams over UDP and calls over peer
/// links.
namespace redwing {

/// One gossip round. The receiver compares the digest with its own to detect missing facts.
struct GossipRound
{
  std::vector<GossipItem> items_;
  std::uint64_t digest_ = 0;
  std::vector<WatcherReport> reports_;
  /// Revision of the sender's current configuration.
  std::uint64_t configurationRevision_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(items_, digest_, reports_, configurationRevision_);
  }
};

/// A message of the ownership protocol, addressed to one incarnation of the receiver.
struct OwnershipDatagram
{
  InstanceRef to_;
  OwnershipMessage message_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(to_, message_);
  }
};

/// Token buckets of a released share shard, sent by the previous owner to its successor. The
/// receiver uses them only if it gains the shard with the next fencing token; any other new owner
/// starts with empty buckets.
struct BucketHandoff
{
  ShardId shard_;
  std::uint64_t token_ = 0;
  std::vector<BucketState> buckets_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(shard_, token_, buckets_);
  }
};

using ControlDatagram = std::
  variant<OwnershipDatagram, GossipRound, SliceRequest, SliceReply, SliceReport, BucketHandoff>;

/// Requests the facts of each bucket whose digest differs (see Gossip::BucketDigests).
struct GossipPull
{
  /// Bucket digests of the sender.
  std::vector<std::uint32_t> buckets_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(buckets_);
  }
};

struct GossipPullReply
{
  std::vector<GossipItem> items_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(items_);
  }
};

/// Requests the current configuration of the receiver.
struct ConfigurationPull
{
  template<typename Archive>
  void serialize(Archive&)
  {
  }
};

/// The stored record of the configuration and its revision; the revision is 0 if the instance has
/// no configuration.
struct ConfigurationPullReply
{
  std::uint64_t revision_ = 0;
  std::string record_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(revision_, record_);
  }
};

/// Replicates idempotency entries to the successor of a shard.
struct IdempotencyPush
{
  /// Encoded by EncodeEntries.
  std::string entries_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(entries_);
  }
};

struct IdempotencyPushReply
{
  bool stored_ = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(stored_);
  }
};

/// Requests a StatusReply.
struct StatusQuery
{
  template<typename Archive>
  void serialize(Archive&)
  {
  }
};

/// State of one instance as shown to operators.
struct StatusReply
{
  InstanceRef ref_;
  std::uint64_t configurationRevision_ = 0;
  bool configurationCurrent_ = false;
  bool leaseValid_ = false;
  bool storeReachable_ = false;
  /// Number of shards that the instance owns.
  std::uint32_t shards_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      ref_, configurationRevision_, configurationCurrent_, leaseValid_, storeReachable_, shards_);
  }
};

using ControlCall = std::variant<GossipPull, ConfigurationPull, IdempotencyPush, StatusQuery>;
using ControlCallReply = std::variant<std::monostate,
                                      GossipPullReply,
                                      ConfigurationPullReply,
                                      IdempotencyPushReply,
                                      StatusReply>;

} // namespace redwing
