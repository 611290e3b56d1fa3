// Part of FleetService: shard tables of instances that differ from each other or, after the store
// came back from an older copy, from the store.

#include "core/Log.hpp"
#include "fleet/FleetService.hpp"
#include "store/StoreRevision.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace redwing {

namespace {

/// More fencing tokens than a service can use in the writes of one epoch that the store may lose.
constexpr std::uint64_t kLostTokens = 1U << 20U;
constexpr std::chrono::milliseconds kTableTimeout{ 400 };

} // namespace

bool
FleetService::IsCurrent(std::uint64_t aRevision) const
{
  return EpochOf(aRevision) == session_.Epoch();
}

void
FleetService::UpdateEpoch()
{
  if (session_.Epoch() != epoch_) {
    const TimePoint now = clock_.Now();
    const bool waited = !recovery_.Waits(now);
    std::set<InstanceRef> members;
    for (const auto& [key, member] : members_) {
      // One that did not register again while its lease could last holds nothing any more.
      if (!waited || EpochOf(member.revision_) == epoch_) {
        members.insert(member.record_.member_.ref_);
      }
    }
    epoch_ = session_.Epoch();
    recovery_.Begin(epoch_, confirmedInEpoch_, now < grantDeadline_, members, now);
    earlyChanges_.clear();
    ledUntilEpoch_ = leads_ && clock_.Now() < leaderLease_.Deadline();
    UpdateSelf();
  }
}

bool
FleetService::TablesAreCurrent() const
{
  return std::all_of(tables_.begin(), tables_.end(), [this](const auto& aTable) {
    return IsCurrent(aTable.second.revision_);
  });
}

bool
FleetService::SeesEarlierEpoch() const
{
  return recovery_.SeesEarlierMembers() ||
         std::any_of(members_.begin(), members_.end(), [this](const auto& aMember) {
           return aMember.second.record_.carried_ || !IsCurrent(aMember.second.revision_);
         });
}

std::set<InstanceRef>
FleetService::RegisteredMembers() const
{
  std::set<InstanceRef> registered;
  for (const auto& [key, member] : members_) {
    if (IsCurrent(member.revision_)) {
      registered.insert(member.record_.member_.ref_);
    }
  }
  return registered;
}

std::map<std::string, std::uint64_t>
FleetService::TableRevisions() const
{
  std::map<std::string, std::uint64_t> revisions;
  for (const auto& [service, table] : tables_) {
    revisions[service] = table.revision_;
  }
  return revisions;
}

bool
FleetService::MayRecover(const ShardTable& aTable) const
{
  return !recovery_.Waits(clock_.Now()) ||
         recovery_.Accounted(aTable, RegisteredMembers(), TableRevisions());
}

bool
FleetService::MayRecoverPart() const
{
  return recovery_.HeardRegistered(RegisteredMembers(), TableRevisions(), clock_.Now());
}

void
FleetService::RecoverTable(const std::string& aService, const KnownTable& aKnown)
{
  const bool all = MayRecover(aKnown.table_);
  if (!all && !MayRecoverPart()) {
    return;
  }
  const TimePoint now = clock_.Now();
  const bool leasesRun = recovery_.Waits(now);
  const bool settled =
    all && (aKnown.table_.Settled() || !recovery_.WaitsFor(aKnown.table_.Epoch(), now));
  const std::string key = session_.TableKey(aService);
  LogLine(LogLevel::Info, "shard_table_recovered")
    .With("service", aService)
    .With("revision", aKnown.revision_)
    .With("stored", session_.RevisionOf(key))
    .With("heard", all && leasesRun ? "all" : "some")
    .With("settled", settled ? "yes" : "no");
  ShardTable next = aKnown.table_;
  // If not all instances were heard, the holder of a shard may have been another one in a lost
  // write, with a higher token.
  next.SkipTokens(kLostTokens * (session_.Epoch() - aKnown.table_.Epoch()), !leasesRun);
  next.SetSettled(settled);
  if (!all) {
    const std::set<InstanceRef> registered = RegisteredMembers();
    for (const ShardRun& run : aKnown.table_.Runs()) {
      const auto holder = members_.find(session_.MemberKey(run.holder_.instanceId_));
      // What a new incarnation of the server holds tells nothing about shards of the one before.
      const bool sameServer =
        holder != members_.end() &&
        holder->second.record_.serverIncarnation_ == run.holder_.serverIncarnation_;
      if (!run.holder_.Empty() && !(sameServer && recovery_.IsCertain(run, registered))) {
        next.Assign(run.first_, run.last_, {});
      }
    }
  }
  WriteTable(aService, { session_.RevisionOf(key), aKnown.table_ }, next, {}, "new_epoch");
}

void
FleetService::RepairTables(const FleetReport& aReport, FleetReply& aReply)
{
  if (aReport.service_.empty()) {
    // The report only asks for an allowance.
    return;
  }
  recovery_.OnReport(aReport);
  std::map<std::string, std::uint64_t> reported(aReport.tables_.begin(), aReport.tables_.end());
  std::map<std::string, std::uint64_t>& before = reportedTables_[aReport.from_.id_];
  for (const auto& [service, table] : tables_) {
    const std::uint64_t known = reported.try_emplace(service, 0).first->second;
    const auto last = before.find(service);
    // Changes may be in transit to an instance that reports an older revision for the first time.
    const bool stuck =
      !IsCurrent(known) || known == 0 || (last != before.end() && last->second == known);
    if (known < table.revision_ && stuck && IsCurrent(table.revision_)) {
      aReply.tables_.push_back({ service, table.revision_, table.table_.ToText(), 0, {} });
    }
  }
  for (const auto& [service, revision] : reported) {
    const auto known = tables_.find(service);
    if (known != tables_.end() && known->second.revision_ >= revision) {
      continue;
    }
    if (IsCurrent(revision)) {
      session_.Reload();
    } else if (revision > 0) {
      aReply.wanted_.push_back(service);
    }
  }
  before = std::move(reported);
  if (!TablesAreCurrent()) {
    nextPlan_ = {};
  }
}

void
FleetService::SendWantedTables(const FleetReply& aReply)
{
  for (const std::string& service : aReply.wanted_) {
    const auto known = tables_.find(service);
    if (known == tables_.end()) {
      continue;
    }
    const TableNotice notice{
      service, known->second.revision_, known->second.table_.ToText(), 0, {}
    };
    hooks_.call_(
      Leader(), WriteWire(FleetRequest(notice)), kTableTimeout, [](bool, const std::string&) {});
  }
}

} // namespace redwing
