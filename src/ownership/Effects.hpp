#pragma once

#include "ownership/Messages.hpp"

#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

/// Effects that the ownership classes ask their caller to carry out.
namespace redwing {

struct SendMessage
{
  InstanceRef to_;
  OwnershipMessage message_;
};

/// Replaces expected_ by next_ in the store by compare-and-swap with the revision at which
/// expected_ was read. An expected row with an empty owner also matches an absent row of token 0.
struct CommitRow
{
  std::uint64_t operation_ = 0;
  ShardRow expected_;
  ShardRow next_;
};

/// Rows that this instance knows to have changed, for gossip and routing.
struct RowsChanged
{
  std::vector<ShardRow> rows_;
};

struct OwnershipGained
{
  ShardId shard_;
  std::uint64_t token_ = 0;
};

struct OwnershipLost
{
  ShardId shard_;
  std::uint64_t token_ = 0;
};

/// The caller sends all idempotency entries of the shard to successor_, replicates every new entry
/// to it from now on, and then calls OwnershipNode::ConfirmSuccessor.
struct SuccessorPending
{
  ShardId shard_;
  std::uint64_t token_ = 0;
  InstanceRef successor_;
};

/// Grantor and backup grantor hold the row with successor_ (empty: none).
struct SuccessorHeld
{
  ShardId shard_;
  std::uint64_t token_ = 0;
  InstanceRef successor_;
};

/// The lease ended: the instance must rejoin with a higher incarnation.
struct LeaseExpired
{};

/// The incarnation was decided dead; the caller spreads this by gossip.
struct MemberDead
{
  InstanceRef ref_;
};

using Effect = std::variant<SendMessage,
                            CommitRow,
                            RowsChanged,
                            OwnershipGained,
                            OwnershipLost,
                            SuccessorPending,
                            SuccessorHeld,
                            LeaseExpired,
                            MemberDead>;
using Effects = std::vector<Effect>;

enum class CommitOutcome : std::uint8_t
{
  Success,
  /// The row was changed by somebody else; the current row is supplied.
  Conflict,
  /// The write took no effect.
  Unavailable,
  /// The write may have taken effect.
  Unknown,
};

} // namespace redwing
