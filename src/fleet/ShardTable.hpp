#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// One run of a backend server beside an instance, as the holder of shards.
struct ShardHolder
{
  std::string instanceId_;
  std::string life_;

  bool operator==(const ShardHolder&) const = default;
  bool Empty() const { return instanceId_.empty(); }
};

/// Consecutive shards with the same state.
struct ShardRun
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  /// Empty: nobody holds the shards.
  ShardHolder holder_;
  /// Fencing token; rises with each change of the holder.
  std::uint64_t token_ = 0;
  /// Instance that takes over once the holder has released the shards; empty if they stay.
  std::string successor_;
  /// Token of the last holder's server for the present one; empty if it released nothing.
  std::string handover_;

  bool operator==(const ShardRun&) const = default;
  bool SameState(const ShardRun& aOther) const
  {
    return holder_ == aOther.holder_ && token_ == aOther.token_ &&
           successor_ == aOther.successor_ && handover_ == aOther.handover_;
  }
};

/// Who holds the shards of one keyed service. It is stored as one document, and each change of it
/// is conditional on the version that the change is based on.
class ShardTable
{
public:
  /// Starts with all shards without holder.
  explicit ShardTable(std::uint32_t aShards = 1);

  /// Parses the stored form; returns what is wrong with it.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static tl::expected<ShardTable, std::string> Parse(std::string_view aText);

  /// Returns the stored form.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::string ToText() const;

  std::uint32_t Shards() const { return shards_; }
  std::span<const ShardRun> Runs() const { return runs_; }

  /// Returns the run that contains aShard.
  ///
  /// Preconditions: aShard < Shards(). Thread safety: callable from any thread.
  const ShardRun& At(std::uint32_t aShard) const;

  /// Gives shards to a holder under a new token.
  ///
  /// Preconditions: aFirst <= aLast < Shards(). Thread safety: not thread-safe.
  void Assign(std::uint32_t aFirst,
              std::uint32_t aLast,
              const ShardHolder& aHolder,
              std::string aHandover = {});

  /// Names the instance that takes the shards over.
  ///
  /// Preconditions: as Assign. Thread safety: not thread-safe.
  void SetSuccessor(std::uint32_t aFirst, std::uint32_t aLast, const std::string& aInstanceId);

  /// Returns the runs of aNext whose state differs from the one here.
  ///
  /// Preconditions: both have the same number of shards. Thread safety: callable from any thread.
  std::vector<ShardRun> ChangesTo(const ShardTable& aNext) const;

  /// Sets the state of the shards of aChanges; returns whether they are runs of shards of this
  /// table, which is unchanged otherwise.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool Apply(std::span<const ShardRun> aChanges);

  bool operator==(const ShardTable&) const = default;

private:
  /// Makes aShard the first of a run; returns the index of the run.
  std::size_t SplitAt(std::uint32_t aShard);
  void Merge();

  std::uint32_t shards_;
  /// Last fencing token given out.
  std::uint64_t lastToken_ = 0;
  std::vector<ShardRun> runs_;
};

} // namespace redwing
