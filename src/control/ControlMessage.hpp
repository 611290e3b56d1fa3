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

/// Messages between the control threads of instances: datagrams over UDP, calls over peer links.
namespace redwing {

/// One round of gossip. The digest lets the receiver notice that it lacks a fact.
struct GossipRound
{
  std::vector<GossipItem> items_;
  std::uint64_t digest_ = 0;
  std::vector<WatcherReport> reports_;
  /// Configuration revision of the sender.
  std::uint64_t configurationRevision_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(items_, digest_, reports_, configurationRevision_);
  }
};

/// A message of the ownership protocol for one incarnation of the receiver.
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

/// Buckets of a share shard that its owner releases. The receiver uses them if it becomes the next
/// owner, with the following token; otherwise it starts with empty buckets.
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

/// Asks for the facts in the buckets whose digest differs (see Gossip::BucketDigests).
struct GossipPull
{
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

struct ConfigurationPull
{
  template<typename Archive>
  void serialize(Archive&)
  {
  }
};

/// The stored value of the configuration key with its revision; revision 0 when there is none.
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

/// Idempotency entries for the successor of a shard.
struct IdempotencyPush
{
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

struct StatusQuery
{
  template<typename Archive>
  void serialize(Archive&)
  {
  }
};

/// State of one instance for the operators' overview.
struct StatusReply
{
  InstanceRef ref_;
  std::uint64_t configurationRevision_ = 0;
  bool configurationCurrent_ = false;
  bool leaseValid_ = false;
  bool storeReachable_ = false;
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
