#include "control/FleetState.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

constexpr std::string_view kMemberPrefix = "m/";
constexpr std::string_view kRowPrefix = "s/";

/// Length of the row change history. A consumer that is further behind processes all rows.
constexpr std::size_t kMaxTrackedChanges = 4096;

/// Minor version of a removal. It is larger than any change counter, so that late updates of the
/// same incarnation cannot override the removal.
constexpr std::uint64_t kRemovalMinorVersion = 1ULL << 62;

bool
HasSameState(const Member& aLeft, const Member& aRight)
{
  return aLeft.ref_ == aRight.ref_ && aLeft.dataCentre_ == aRight.dataCentre_ &&
         aLeft.region_ == aRight.region_ && aLeft.rack_ == aRight.rack_ &&
         aLeft.peersAddress_ == aRight.peersAddress_ && aLeft.service_ == aRight.service_ &&
         aLeft.slots_ == aRight.slots_ && aLeft.labels_ == aRight.labels_ &&
         aLeft.state_ == aRight.state_ && aLeft.leaving_ == aRight.leaving_;
}

std::string
RowKey(const ShardId& aShard)
{
  return std::string(kRowPrefix) + aShard.service_ + "/" + std::to_string(aShard.index_);
}

} // namespace

FleetState::FleetState(OnOtherFact aOnOtherFact, OnMemberGone aOnMemberGone)
  : onOtherFact_(std::move(aOnOtherFact))
  , onMemberGone_(std::move(aOnMemberGone))
  , gossip_([this](const GossipItem& aItem) { OnItem(aItem); })
{
}

void
FleetState::SetSelf(const Member& aMember)
{
  const auto known = members_.find(aMember.ref_.id_);
  if (known != members_.end() && HasSameState(known->second, aMember)) {
    return;
  }
  PublishMember({ aMember, false });
}

void
FleetState::RemoveMember(const InstanceRef& aRef)
{
  const auto known = members_.find(aRef.id_);
  if (known == members_.end() || known->second.ref_.incarnation_ != aRef.incarnation_) {
    return;
  }
  PublishMember({ known->second, true });
}

void
FleetState::AddContact(const std::string& aId, const Address& aAddress)
{
  contacts_[aId] = aAddress;
}

std::optional<Address>
FleetState::AddressOf(std::string_view aId) const
{
  if (const auto member = members_.find(aId); member != members_.end()) {
    return member->second.peersAddress_;
  }
  if (const auto contact = contacts_.find(aId); contact != contacts_.end()) {
    return contact->second;
  }
  return std::nullopt;
}

std::vector<std::string>
FleetState::GossipTargets() const
{
  std::vector<std::string> ids;
  for (const auto& [id, member] : members_) {
    ids.push_back(id);
  }
  for (const auto& [id, address] : contacts_) {
    if (!members_.contains(id)) {
      ids.push_back(id);
    }
  }
  return ids;
}

void
FleetState::SetRow(const ShardRow& aRow)
{
  if (const auto item = UpdateRow(aRow)) {
    gossip_.Publish(*item);
  }
}

void
FleetState::RecordStoreRow(const ShardRow& aRow)
{
  if (const auto item = UpdateRow(aRow)) {
    gossip_.Record(*item);
  }
}

std::optional<GossipItem>
FleetState::UpdateRow(const ShardRow& aRow)
{
  const auto known = rows_.find(aRow.shard_);
  const bool newer = known == rows_.end() || aRow.token_ > known->second.token_;
  const bool changed = !newer && aRow.token_ == known->second.token_ && aRow != known->second;
  if (!newer && !changed) {
    return std::nullopt;
  }
  GossipVersion& version = rowVersions_[aRow.shard_];
  version =
    newer ? GossipVersion{ aRow.token_, 1 } : GossipVersion{ version.major_, version.minor_ + 1 };
  RecordRowChange(aRow);
  return GossipItem{ RowKey(aRow.shard_), version, EncodeRow(aRow) };
}

void
FleetState::RecordRowChange(const ShardRow& aRow)
{
  rows_[aRow.shard_] = aRow;
  changes_.emplace_back(++version_, aRow.shard_);
  if (changes_.size() > kMaxTrackedChanges) {
    changesSince_ = changes_.front().first;
    changes_.pop_front();
  }
}

std::optional<std::vector<ShardRow>>
FleetState::RowsChangedSince(std::uint64_t aVersion) const
{
  if (aVersion < changesSince_) {
    return std::nullopt;
  }
  const auto first = std::upper_bound(
    changes_.begin(), changes_.end(), aVersion, [](std::uint64_t aAt, const auto& aChange) {
      return aAt < aChange.first;
    });
  std::vector<ShardRow> rows;
  for (auto change = first; change != changes_.end(); ++change) {
    rows.push_back(rows_.at(change->second));
  }
  return rows;
}

void
FleetState::PublishFact(const std::string& aKey, const std::string& aPayload)
{
  gossip_.Publish({ aKey, { 1, 1 }, aPayload });
}

void
FleetState::OnItem(const GossipItem& aItem)
{
  if (aItem.key_.starts_with(kMemberPrefix)) {
    OnMember(aItem);
  } else if (aItem.key_.starts_with(kRowPrefix)) {
    OnRow(aItem);
  } else {
    onOtherFact_(aItem);
  }
}

void
FleetState::OnMember(const GossipItem& aItem)
{
  auto fact = MemberFact::Decode(aItem.payload_);
  if (!fact) {
    return;
  }
  const std::string id = fact->member_.ref_.id_;
  GossipVersion& version = memberVersions_[id];
  if (version >= aItem.version_) {
    return;
  }
  version = aItem.version_;
  membersVersion_ = ++version_;
  if (fact->gone_) {
    members_.erase(id);
    onMemberGone_(fact->member_.ref_);
  } else {
    members_[id] = std::move(fact->member_);
  }
}

void
FleetState::OnRow(const GossipItem& aItem)
{
  const auto row = DecodeRow(aItem.payload_);
  if (!row) {
    return;
  }
  GossipVersion& version = rowVersions_[row->shard_];
  if (version >= aItem.version_) {
    return;
  }
  version = aItem.version_;
  RecordRowChange(*row);
}

void
FleetState::PublishMember(const MemberFact& aFact)
{
  const InstanceRef& ref = aFact.member_.ref_;
  GossipVersion& version = memberVersions_[ref.id_];
  version = version.major_ == ref.incarnation_ ? GossipVersion{ version.major_, version.minor_ + 1 }
                                               : GossipVersion{ ref.incarnation_, 1 };
  if (aFact.gone_) {
    version.minor_ = kRemovalMinorVersion;
    members_.erase(ref.id_);
  } else {
    members_[ref.id_] = aFact.member_;
  }
  membersVersion_ = ++version_;
  gossip_.Publish({ std::string(kMemberPrefix) + ref.id_, version, aFact.Encode() });
}

} // namespace redwing
