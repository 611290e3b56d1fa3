#pragma once

#include "ownership/OwnershipGate.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace redwing {

/// Shards owned by this instance and the owners it knows of other shards. Written by the control
/// thread, read at every dispatch.
class OwnershipTable final : public OwnershipGate
{
public:
  GateAnswer Check(const ShardId& aShard, TimePoint aNow) const override;
  GateAnswer BeginRequest(const ShardId& aShard, TimePoint aNow) override;
  void EndRequest(const ShardId& aShard) override;

  /// Sets the moment at which the lease of this instance ends.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetLeaseDeadline(TimePoint aDeadline);

  /// Returns the moment at which the lease of this instance ends.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  TimePoint LeaseDeadline() const;

  /// Records that this instance owns the shard of aRow.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void Gain(const ShardRow& aRow);

  /// Records that this instance does not own aShard any more. Running requests stay counted.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void Lose(const ShardId& aShard);

  /// Records that aShard is being handed over; new requests are not counted as owned.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetReleasing(const ShardId& aShard, bool aReleasing);

  /// Records the owner of a shard as a hint; ignores rows with a lower token than known.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetOwner(const ShardRow& aRow);

  /// Returns the number of requests of aShard that began and did not end.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::uint32_t Running(const ShardId& aShard) const;

  /// Records whether the backend server holds a grant for the shard. A shard is released only after
  /// the server's grant was revoked or has expired.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void SetGranted(const ShardId& aShard, bool aGranted);

  /// Returns whether no request of aShard runs and the backend server holds no grant for it.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool IsIdle(const ShardId& aShard) const;

  /// Returns whether aShard is being handed over.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool IsReleasing(const ShardId& aShard) const;

private:
  struct Entry
  {
    bool owned_ = false;
    bool releasing_ = false;
    bool granted_ = false;
    std::uint32_t running_ = 0;
    std::uint64_t token_ = 0;
    InstanceRef owner_;
  };
  struct ShardHash
  {
    std::size_t operator()(const ShardId& aShard) const
    {
      constexpr std::size_t kOdd = 0x9E3779B97F4A7C15ULL;
      return std::hash<std::string>()(aShard.service_) ^ (aShard.index_ * kOdd);
    }
  };

  GateAnswer Answer(const Entry& aEntry, TimePoint aNow) const;

  mutable std::mutex mutex_;
  std::unordered_map<ShardId, Entry, ShardHash> entries_;
  std::atomic<TimePoint::rep> leaseDeadline_{ 0 };
};

} // namespace redwing
