#include "ownership/RowSet.hpp"

namespace redwing {

namespace {

/// Size of an encoded row: three strings with 8-byte lengths and five fixed numbers.
std::size_t
EncodedBytes(const VersionedRow& aRow)
{
  constexpr std::size_t kFixedBytes = 64;
  return kFixedBytes + aRow.row_.shard_.service_.size() + aRow.row_.owner_.id_.size() +
         aRow.row_.successor_.id_.size();
}

} // namespace

bool
RowSet::Merge(const VersionedRow& aRow)
{
  const auto [it, inserted] = entries_.try_emplace(aRow.row_.shard_);
  Entry& entry = it->second;
  if (!inserted && entry.row_.version_ >= aRow.version_) {
    return false;
  }
  if (inserted || entry.Held()) {
    ++unacknowledged_;
  }
  entry.row_ = aRow;
  entry.lastSent_ = TimePoint{};
  return true;
}

void
RowSet::Acknowledge(const RowVersion& aVersion)
{
  const auto it = entries_.find(aVersion.shard_);
  if (it == entries_.end() || it->second.Held() || aVersion.version_ != it->second.row_.version_) {
    return;
  }
  it->second.acknowledged_ = aVersion.version_;
  --unacknowledged_;
}

bool
RowSet::IsHeld(const ShardId& aShard) const
{
  const auto it = entries_.find(aShard);
  return it == entries_.end() || it->second.Held();
}

void
RowSet::ResetAcknowledgements()
{
  for (auto& [shard, entry] : entries_) {
    entry.acknowledged_ = 0;
    entry.lastSent_ = TimePoint{};
  }
  unacknowledged_ = entries_.size();
}

std::vector<std::vector<VersionedRow>>
RowSet::TakeDue(TimePoint aNow, Duration aResend, std::size_t aBytes)
{
  std::vector<std::vector<VersionedRow>> batches;
  if (unacknowledged_ == 0) {
    return batches;
  }
  std::size_t used = 0;
  for (auto& [shard, entry] : entries_) {
    if (entry.Held() || (entry.lastSent_ != TimePoint{} && aNow - entry.lastSent_ < aResend)) {
      continue;
    }
    entry.lastSent_ = aNow;
    const std::size_t bytes = EncodedBytes(entry.row_);
    if (batches.empty() || used + bytes > aBytes) {
      batches.emplace_back();
      used = 0;
    }
    batches.back().push_back(entry.row_);
    used += bytes;
  }
  return batches;
}

std::vector<ShardRow>
RowSet::Rows() const
{
  std::vector<ShardRow> rows;
  for (const auto& [shard, entry] : entries_) {
    if (!entry.row_.row_.owner_.Empty()) {
      rows.push_back(entry.row_.row_);
    }
  }
  return rows;
}

std::vector<VersionedRow>
RowSet::Versioned() const
{
  std::vector<VersionedRow> rows;
  rows.reserve(entries_.size());
  for (const auto& [shard, entry] : entries_) {
    rows.push_back(entry.row_);
  }
  return rows;
}

} // namespace redwing
