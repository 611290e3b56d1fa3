#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// The holder of shards: one incarnation of the backend server of an instance.
struct ShardHolder
{
  std::string instanceId_;
  std::string serverIncarnation_;

  bool operator==(const ShardHolder&) const = default;
  bool Empty() const { return instanceId_.empty(); }
};

/// A range of consecutive shards with the same state.
struct ShardRun
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  /// Empty if nobody holds the shards.
  ShardHolder holder_;
  /// Fencing token; increases with each change of the holder.
  std::uint64_t token_ = 0;
  /// Instance that takes over once the holder has released the shards; empty if no handover is
  /// planned.
  std::string successor_;
  /// Handover token from the previous holder's server to the present one; empty if the previous
  /// holder did not release the shards.
  std::string handover_;

  bool operator==(const ShardRun&) const = default;
  bool SameState(const ShardRun& aOther) const
  {
    return holder_ == aOther.holder_ && token_ == aOther.token_ &&
           successor_ == aOther.successor_ && handover_ == aOther.handover_;
  }
};

/// Assigns the shards of one keyed service to holders. The table is stored as one document, and
/// each write is conditional on the revision that it is based on.
class ShardTable
{
public:
  /// Creates a table of aShards shards without holders.
  explicit ShardTable(std::uint32_t aShards = 1);

  /// Parses the stored form; returns an error message if it is invalid.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static tl::expected<ShardTable, std::string> Parse(std::string_view aText);

  /// Returns the stored form.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::string ToText() const;

  std::uint32_t Shards() const { return shards_; }

  /// Returns the epoch of the store in which the table was written; 0 in tables of builds that did
  /// not write it. In a later epoch the table may be older than what instances know.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::uint64_t Epoch() const { return epoch_; }

  /// Sets the epoch in which the table is about to be written.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetEpoch(std::uint64_t aEpoch) { epoch_ = aEpoch; }

  /// Returns whether shards without a holder are free. If not, instances that were not heard when
  /// the table was written into a new epoch may hold some by a table of an earlier one.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool Settled() const { return settled_; }

  /// Preconditions: none. Thread safety: not thread-safe.
  void SetSettled(bool aSettled) { settled_ = aSettled; }

  /// Reserves aStep fencing tokens that a lost later table may have given out, so that new
  /// assignments get higher ones. With aReassign the present holders get new tokens, too.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SkipTokens(std::uint64_t aStep, bool aReassign);

  std::span<const ShardRun> Runs() const { return runs_; }

  /// Returns the run that contains aShard.
  ///
  /// Preconditions: aShard < Shards(). Thread safety: callable from any thread.
  const ShardRun& At(std::uint32_t aShard) const;

  /// Assigns shards to a holder under a new fencing token.
  ///
  /// Preconditions: aFirst <= aLast < Shards(). Thread safety: not thread-safe.
  void Assign(std::uint32_t aFirst,
              std::uint32_t aLast,
              const ShardHolder& aHolder,
              std::string aHandover = {});

  /// Sets the instance that takes over the shards; an empty id cancels the handover.
  ///
  /// Preconditions: as for Assign. Thread safety: not thread-safe.
  void SetSuccessor(std::uint32_t aFirst, std::uint32_t aLast, const std::string& aInstanceId);

  /// Returns the runs of aNext whose state differs from this table.
  ///
  /// Preconditions: both have the same number of shards. Thread safety: callable from any thread.
  std::vector<ShardRun> ChangesTo(const ShardTable& aNext) const;

  /// Applies aChanges, as returned by ChangesTo. Returns false, and leaves the table unchanged, if
  /// a change is not a valid range of shards of this table.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Apply(std::span<const ShardRun> aChanges);

  bool operator==(const ShardTable&) const = default;

private:
  /// Splits the run that contains aShard so that a run starts there; returns the index of that run.
  std::size_t SplitAt(std::uint32_t aShard);
  /// Joins adjacent runs with the same state.
  void Merge();

  std::uint32_t shards_;
  std::uint64_t epoch_ = 0;
  bool settled_ = true;
  /// Last fencing token issued.
  std::uint64_t lastToken_ = 0;
  std::vector<ShardRun> runs_;
};

} // namespace redwing
