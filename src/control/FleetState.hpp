#pragma once

#include "control/MemberFact.hpp"
#include "membership/Gossip.hpp"
#include "ownership/ShardRow.hpp"
#include "routing/RoutingView.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace redwing {

/// The members and shard rows known to this instance, synchronised with the other instances by
/// gossip.
class FleetState
{
public:
  /// Called for each new fact that is neither a member nor a row, such as a quarantine entry (key
  /// prefix `p/`).
  using OnOtherFact = std::function<void(const GossipItem& aItem)>;

  /// Called when another instance reports that an incarnation is dead or has left.
  using OnMemberGone = std::function<void(const InstanceRef& aRef)>;

  FleetState(OnOtherFact aOnOtherFact, OnMemberGone aOnMemberGone);

  /// Updates this instance's own member entry, and publishes it if it changed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetSelf(const Member& aMember);

  /// Removes an incarnation that is dead or has left, and publishes the removal. Has no effect if
  /// aRef is not a current member.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void RemoveMember(const InstanceRef& aRef);

  /// Adds an instance that was read from the store as a gossip target. It becomes a member only
  /// when its own member fact arrives.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void AddContact(const std::string& aId, const Address& aAddress);

  /// Returns the peers' address of a member or contact, or nullopt if it is unknown.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<Address> AddressOf(std::string_view aId) const;

  /// Returns the ids of all members and contacts, which are the possible targets of gossip. This
  /// instance is included if it is a member.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<std::string> GossipTargets() const;

  /// Updates a row, and publishes it if it differs from the known row and is not older.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetRow(const ShardRow& aRow);

  /// Updates a row with a value read from the store. The row is not published, because every
  /// instance can read it there.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void RecordStoreRow(const ShardRow& aRow);

  /// Returns the rows that changed after aVersion (see Version), oldest change first. Returns
  /// nullopt if the change history does not reach back to aVersion; the caller then has to process
  /// all rows.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<std::vector<ShardRow>> RowsChangedSince(std::uint64_t aVersion) const;

  /// Returns the version of the last change of a member.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint64_t MembersVersion() const { return membersVersion_; }

  /// Publishes a fact that is neither a member nor a row.
  ///
  /// Preconditions: aKey does not start with `m/` or `s/`. Thread safety: not thread-safe.
  void PublishFact(const std::string& aKey, const std::string& aPayload);

  /// Returns the current members by id.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const std::map<std::string, Member, std::less<>>& Members() const { return members_; }

  /// Returns all known rows by shard.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const std::map<ShardId, ShardRow>& Rows() const { return rows_; }

  /// Returns a number that increases with each change of a member or row.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint64_t Version() const { return version_; }

  Gossip& GetGossip() { return gossip_; }

private:
  void OnItem(const GossipItem& aItem);
  void OnMember(const GossipItem& aItem);
  void OnRow(const GossipItem& aItem);
  void PublishMember(const MemberFact& aFact);
  /// Updates the row table; returns the item to gossip, or nullopt if aRow brings nothing new.
  std::optional<GossipItem> UpdateRow(const ShardRow& aRow);
  void RecordRowChange(const ShardRow& aRow);

  OnOtherFact onOtherFact_;
  OnMemberGone onMemberGone_;
  Gossip gossip_;
  std::uint64_t version_ = 1;
  std::uint64_t membersVersion_ = 1;
  /// Version and shard of the most recent row changes, oldest first.
  std::deque<std::pair<std::uint64_t, ShardId>> changes_;
  /// changes_ holds every row change after this version.
  std::uint64_t changesSince_ = 1;
  std::map<std::string, Address, std::less<>> contacts_;
  std::map<std::string, Member, std::less<>> members_;
  /// Newest known version of each member fact, including removed members.
  std::map<std::string, GossipVersion, std::less<>> memberVersions_;
  std::map<ShardId, ShardRow> rows_;
  std::map<ShardId, GossipVersion> rowVersions_;
};

} // namespace redwing
