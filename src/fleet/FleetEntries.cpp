// Part of FleetService: the entries of the store that are read into members and shard tables.

#include "core/Log.hpp"
#include "fleet/FleetService.hpp"
#include "store/StoreRevision.hpp"

#include <utility>

namespace redwing {

void
FleetService::ReadMembers()
{
  for (const auto& [key, entry] : session_.All()) {
    if (!session_.IsMemberKey(key)) {
      continue;
    }
    const auto known = members_.find(key);
    const bool isRead =
      known != members_.end() && known->second.entryRevision_ == entry.modRevision_;
    if (!isRead && !IsKnownInvalid(key, entry.modRevision_)) {
      ReadMember(key, entry);
    }
  }
  std::erase_if(invalidEntries_,
                [this](const auto& aItem) { return !session_.All().contains(aItem.first); });
  const bool recovering = recovery_.Carried() && recovery_.Waits(clock_.Now());
  for (auto member = members_.begin(); member != members_.end();) {
    // Members of the earlier epoch have time to register again.
    const bool kept = recovering && !IsCurrent(member->second.revision_);
    if (kept || session_.All().contains(member->first)) {
      ++member;
      continue;
    }
    LogLine(LogLevel::Warning, "member_gone")
      .With("instance", member->second.record_.member_.ref_.id_)
      .With("last_revision", member->second.revision_);
    unreachable_.erase(member->second.record_.member_.ref_.id_);
    contacts_.OnMemberRemoved(member->second.record_.member_.ref_.id_, clock_.Now());
    member = members_.erase(member);
    viewDirty_ = true;
    membersChangedAt_ = clock_.Now();
    nextPlan_ = {};
  }
}

void
FleetService::ReadMember(const std::string& aKey, const StoreEntry& aEntry)
{
  auto record = MemberRecord::Parse(aEntry.value_);
  if (record &&
      (record->member_.ref_.id_.empty() || session_.MemberKey(record->member_.ref_.id_) != aKey)) {
    record = tl::unexpected(std::string("the key names another instance"));
  }
  if (!record) {
    LogInvalid(aKey, aEntry.modRevision_, "member_record_invalid", record.error());
    if (const auto present = members_.find(aKey); present != members_.end()) {
      present->second.revision_ = aEntry.modRevision_;
      present->second.entryRevision_ = aEntry.modRevision_;
    }
    return;
  }
  const std::uint64_t revision = MakeRevision(record->epoch_, NumberOf(aEntry.modRevision_));
  const auto present = members_.find(aKey);
  const bool isNew = present == members_.end();
  if (recovery_.Carried() && !IsCurrent(revision) &&
      (isNew || revision <= present->second.revision_)) {
    // The store has this record again: it was changed or removed before the store came back.
    return;
  }
  members_[aKey] = { revision, aEntry.modRevision_, std::move(*record) };
  const MemberRecord& known = members_[aKey].record_;
  LogLine(LogLevel::Info, isNew ? "member_seen" : "member_changed")
    .With("instance", known.member_.ref_.id_)
    .With("incarnation", known.member_.ref_.incarnation_)
    .With("life", known.serverIncarnation_)
    .With("accepts", known.Accepts() ? "yes" : "no")
    .With("revision", revision);
  if (isNew) {
    SendSuspects(known.member_.ref_.id_);
  }
  viewDirty_ = true;
  membersChangedAt_ = clock_.Now();
  nextPlan_ = {};
}

bool
FleetService::IsKnownInvalid(const std::string& aKey, std::uint64_t aRevision) const
{
  const auto found = invalidEntries_.find(aKey);
  return found != invalidEntries_.end() && found->second == aRevision;
}

void
FleetService::LogInvalid(const std::string& aKey,
                         std::uint64_t aRevision,
                         std::string_view aEvent,
                         const std::string& aError)
{
  invalidEntries_[aKey] = aRevision;
  LogLine(LogLevel::Warning, aEvent)
    .With("key", aKey)
    .With("revision", aRevision)
    .With("error", aError);
}

void
FleetService::ReadTables()
{
  for (const auto& [key, entry] : session_.All()) {
    const std::string service = session_.ServiceOfTable(key);
    if (!service.empty()) {
      AdoptTable(service, entry.modRevision_, entry.value_);
    }
  }
}

void
FleetService::AdoptTable(const std::string& aService,
                         std::uint64_t aRevision,
                         const std::string& aText)
{
  const auto known = tables_.find(aService);
  if ((known != tables_.end() && known->second.revision_ >= aRevision) ||
      IsKnownInvalid(session_.TableKey(aService), aRevision)) {
    return;
  }
  auto table = ShardTable::Parse(aText);
  if (!table) {
    LogInvalid(session_.TableKey(aService), aRevision, "shard_table_invalid", table.error());
    return;
  }
  const std::uint64_t revision = MakeRevision(table->Epoch(), NumberOf(aRevision));
  if (known == tables_.end() || known->second.revision_ < revision) {
    SetTable(aService, { revision, std::move(*table) });
  }
}

} // namespace redwing
