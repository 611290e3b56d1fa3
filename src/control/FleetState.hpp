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

/// Members and shard rows as this instance knows them, kept in step with the rest by gossip.
class FleetState
{
public:
  /// Payloads of facts that are neither members nor rows (key prefix `p/`: poison requests).
  using OnOtherFact = std::function<void(const GossipItem& aItem)>;

  /// Called when an incarnation is reported gone.
  using OnMemberGone = std::function<void(const InstanceRef& aRef)>;

  FleetState(OnOtherFact aOnOtherFact, OnMemberGone aOnMemberGone);

  /// Records this instance's own state and spreads it if it changed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetSelf(const Member& aMember);

  /// Records that an incarnation is gone and spreads this.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetGone(const InstanceRef& aRef);

  /// Records the address of an instance read from the store. It is a contact for gossip only: it
  /// counts as a member once its own fact arrives.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void AddContact(const std::string& aId, const Address& aAddress);

  /// Returns the peers' address of an instance, if it is known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<Address> AddressOf(std::string_view aId) const;

  /// Returns the ids of all members and contacts.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::vector<std::string> Partners() const;

  /// Records a row that this instance changed, and spreads it if it is news.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetRow(const ShardRow& aRow);

  /// Records a row read from the store without spreading it.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void RecordStoreRow(const ShardRow& aRow);

  /// Returns the rows that changed after aVersion (see Version), oldest change first; nothing if
  /// the changes are no longer known one by one and all rows have to be considered.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::optional<std::vector<ShardRow>> RowsChangedSince(std::uint64_t aVersion) const;

  /// Returns the version at which a member last changed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint64_t MembersVersion() const { return membersVersion_; }

  /// Spreads a fact of another kind.
  ///
  /// Preconditions: aKey does not start with `m/` or `s/`. Thread safety: not thread-safe.
  void SetOther(const std::string& aKey, const std::string& aPayload);

  /// Returns the present members by id.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const std::map<std::string, Member, std::less<>>& Members() const { return members_; }

  /// Returns all known rows by shard.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  const std::map<ShardId, ShardRow>& Rows() const { return rows_; }

  /// Returns a number that changes with each change of members or rows.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint64_t Version() const { return version_; }

  Gossip& GetGossip() { return gossip_; }

private:
  void OnItem(const GossipItem& aItem);
  void OnMember(const GossipItem& aItem);
  void OnRow(const GossipItem& aItem);
  void PublishMember(const MemberFact& aFact);
  std::optional<GossipItem> StoreRow(const ShardRow& aRow);
  void ChangeRow(const ShardRow& aRow);

  OnOtherFact onOtherFact_;
  OnMemberGone onMemberGone_;
  Gossip gossip_;
  std::uint64_t version_ = 1;
  std::uint64_t membersVersion_ = 1;
  /// Versions and shards of the latest row changes.
  std::deque<std::pair<std::uint64_t, ShardId>> changes_;
  /// All row changes after this version are in changes_.
  std::uint64_t changesSince_ = 1;
  std::map<std::string, Address, std::less<>> contacts_;
  std::map<std::string, Member, std::less<>> members_;
  /// Newest version of each member fact, also of those that are gone.
  std::map<std::string, GossipVersion, std::less<>> memberVersions_;
  std::map<ShardId, ShardRow> rows_;
  std::map<ShardId, GossipVersion> rowVersions_;
};

} // namespace redwing
