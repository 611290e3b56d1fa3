#pragma once

#include "ownership/ShardRow.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <variant>
#include <vector>

/// Messages of the key-ownership protocol, sent over UDP. Each one is idempotent and is sent again
/// until it is acknowledged. A *generation* identifies one binding between a dependant and its
/// grantor; the grantor assigns it from a rising counter.
namespace redwing {

/// A row with the owner's version number; a row without owner tells that the owner gave it up.
struct VersionedRow
{
  ShardRow row_;
  std::uint64_t version_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(row_, version_);
  }
};

struct RowVersion
{
  ShardId shard_;
  std::uint64_t version_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(shard_, version_);
  }
};

/// Asks for a generation to bind with.
struct BindProbe
{
  template<typename Archive>
  void serialize(Archive&)
  {
  }
};

/// What an instance that is bound anew does with its own dependants.
enum class DependantAction : std::uint8_t
{
  /// They may be held elsewhere and may not be bound again.
  Drop,
  /// They are dropped, because another instance may decide about them until they are bound again,
  /// and are then offered a new binding.
  Rebind,
  Keep,
};

struct BindOffer
{
  std::uint64_t generation_ = 0;
  /// The sender holds a grantor lease, so it can grant instance leases at once.
  bool ready_ = false;
  /// The sender's own lease was renewed recently, or it never had one.
  bool healthy_ = false;
  /// Neither the grantor nor the backup grantor of the receiver can decide about it any more; it
  /// may bind without leaving its grantor.
  bool orphan_ = false;
  /// Sending time of the heartbeat that asked, if orphan_.
  std::int64_t sentAt_ = 0;
  /// Generation of the binding that the sender dropped when it was bound anew; 0 otherwise. The
  /// receiver may bind to the sender in its place.
  std::uint64_t former_ = 0;
  /// What the receiver does with its own dependants when it binds by former_.
  DependantAction action_ = DependantAction::Drop;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, ready_, healthy_, orphan_, sentAt_, former_, action_);
  }
};

struct Heartbeat
{
  /// 0 when the sender looks for the instance that inherited its binding.
  std::uint64_t generation_ = 0;
  /// Sender's clock in nanoseconds, returned in the reply.
  std::int64_t sentAt_ = 0;
  /// Grantor of the sender.
  InstanceRef grantor_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, sentAt_, grantor_);
  }
};

struct HeartbeatReply
{
  std::uint64_t generation_ = 0;
  std::int64_t sentAt_ = 0;
  bool instanceLease_ = false;
  bool grantorLease_ = false;
  /// The grantor inherited the dependants of the receiver, which must drop them.
  bool inherited_ = false;
  /// The receiver's incarnation was decided dead.
  bool dead_ = false;
  /// Grantor of the sender.
  InstanceRef backup_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, sentAt_, instanceLease_, grantorLease_, inherited_, dead_, backup_);
  }
};

/// Warns a dependant. Level 1: the sender has lost both of its grantors and will soon lose its
/// lease; level 2: the sender's grantor has. Level 0: the sender's lease was not renewed recently.
struct Distress
{
  std::uint64_t generation_ = 0;
  std::uint8_t level_ = 0;
  /// The sender's incarnation has ended.
  bool ended_ = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, level_, ended_);
  }
};

/// Rows of dependant_, from itself to its grantor or from its grantor to the backup grantor. The
/// latter registers the binding even without rows.
struct RowsUpdate
{
  /// Generation of the binding between sender and receiver.
  std::uint64_t generation_ = 0;
  InstanceRef dependant_;
  /// Generation of the binding between dependant_ and the sender; 0 when the sender is dependant_.
  std::uint64_t bindingGeneration_ = 0;
  /// The sender inherited the dependants of dependant_, which does not know that yet.
  bool inherited_ = false;
  std::vector<VersionedRow> rows_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, dependant_, bindingGeneration_, inherited_, rows_);
  }
};

struct RowsAck
{
  std::uint64_t generation_ = 0;
  InstanceRef dependant_;
  std::uint64_t bindingGeneration_ = 0;
  /// The receiver holds dependant_ itself; the sender of the update must drop it.
  bool refused_ = false;
  std::vector<RowVersion> rows_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, dependant_, bindingGeneration_, refused_, rows_);
  }
};

/// Removes a registered binding at the backup grantor.
struct RowsDrop
{
  std::uint64_t generation_ = 0;
  InstanceRef dependant_;
  std::uint64_t bindingGeneration_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, dependant_, bindingGeneration_);
  }
};

struct RowsDropAck
{
  std::uint64_t generation_ = 0;
  InstanceRef dependant_;
  std::uint64_t bindingGeneration_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, dependant_, bindingGeneration_);
  }
};

/// A dependant leaves its grantor because the ring order changed.
struct Unbind
{
  std::uint64_t generation_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_);
  }
};

struct UnbindAck
{
  std::uint64_t generation_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_);
  }
};

/// Decision that dependant_ is dead. Its rows were acknowledged by the receiver before.
struct Decide
{
  std::uint64_t generation_ = 0;
  InstanceRef dependant_;
  std::uint64_t bindingGeneration_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, dependant_, bindingGeneration_);
  }
};

struct DecideAck
{
  std::uint64_t generation_ = 0;
  InstanceRef dependant_;
  std::uint64_t bindingGeneration_ = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(generation_, dependant_, bindingGeneration_);
  }
};

/// Tells the recorded successor to take over with token row_.token_ + 1. Sent by the grantor that
/// decided the owner's death.
struct TakeOver
{
  ShardRow row_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(row_);
  }
};

struct TakeOverAck
{
  ShardRow row_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(row_);
  }
};

/// The owner gave the shard up in favour of the recorded successor, which takes over at once.
struct Release
{
  ShardRow row_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(row_);
  }
};

struct ReleaseAck
{
  ShardRow row_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(row_);
  }
};

/// Asks the recorded successor to promise never to take row_ over.
struct ClaimQuery
{
  ShardRow row_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(row_);
  }
};

struct ClaimPromise
{
  ShardRow row_;
  /// False when the sender has taken the shard over already.
  bool promised_ = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(row_, promised_);
  }
};

/// Proposal of the planner to the owner; not acknowledged, the planner repeats it.
struct ProposeSuccessor
{
  ShardId shard_;
  InstanceRef target_;
  /// Release the shard to target_ afterwards.
  bool move_ = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(shard_, target_, move_);
  }
};

using OwnershipMessage = std::variant<BindProbe,
                                      BindOffer,
                                      Heartbeat,
                                      HeartbeatReply,
                                      Distress,
                                      RowsUpdate,
                                      RowsAck,
                                      RowsDrop,
                                      RowsDropAck,
                                      Unbind,
                                      UnbindAck,
                                      Decide,
                                      DecideAck,
                                      TakeOver,
                                      TakeOverAck,
                                      Release,
                                      ReleaseAck,
                                      ClaimQuery,
                                      ClaimPromise,
                                      ProposeSuccessor>;

} // namespace redwing
