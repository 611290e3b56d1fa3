#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

/// Interface to the platform's key-value store. Revisions are those of StoreRevision.hpp: they
/// never go back, also when the store itself comes back from an older copy. A condition on a
/// revision of an earlier epoch does not hold, and a watch from one ends with an error.
namespace redwing {

enum class StoreErrorKind : std::uint8_t
{
  /// The call was not sent or the store refused it; it took no effect.
  Unavailable,
  /// The reply was lost; a write may have taken effect.
  OutcomeUnknown,
  /// The store rejected the request's content.
  Rejected,
  /// The call budget of this instance is used up; the call was not sent.
  BudgetExceeded,
};

struct StoreError
{
  StoreErrorKind kind_ = StoreErrorKind::Unavailable;
  std::string message_;
};

struct StoreEntry
{
  std::string key_;
  std::string value_;
  std::uint64_t modRevision_ = 0;
  /// 0 when the entry is not bound to a lease.
  std::int64_t lease_ = 0;
};

struct StoreRange
{
  std::vector<StoreEntry> entries_;
  /// Revision of the whole store when the range was read.
  std::uint64_t revision_ = 0;
};

/// One condition of a transaction: aKey's modification revision equals modRevision_ (0: absent).
struct StoreCompare
{
  std::string key_;
  std::uint64_t modRevision_ = 0;
};

/// One write of a transaction; without a value the key is deleted.
struct StoreWrite
{
  std::string key_;
  std::optional<std::string> value_;
  std::int64_t lease_ = 0;
};

struct StoreTransaction
{
  std::vector<StoreCompare> compares_;
  std::vector<StoreWrite> writes_;
};

struct StoreTransactionResult
{
  /// False when a condition did not hold; then nothing was written.
  bool succeeded_ = false;
  std::uint64_t revision_ = 0;
};

/// A lease as the store has granted it.
struct StoreLease
{
  std::int64_t id_ = 0;
  /// Time for which the lease lasts from the arrival of the call, which may be shorter or longer
  /// than the time that was asked for.
  std::chrono::milliseconds timeToLive_{ 0 };
};

struct StoreWatchEvent
{
  std::string key_;
  /// Without a value the key was deleted.
  std::optional<std::string> value_;
  std::uint64_t modRevision_ = 0;
};

template<typename T>
using StoreResult = tl::expected<T, StoreError>;
template<typename T>
using StoreCallback = std::function<void(StoreResult<T>)>;

/// Asynchronous store client. Callbacks run on the store thread and must not block.
class Store
{
public:
  /// Receives a batch of events in revision order, or the error that ended the watch.
  using WatchCallback = std::function<void(StoreResult<std::vector<StoreWatchEvent>>)>;

  virtual ~Store() = default;

  /// Returns the newest epoch of the store that an answer has shown; 0 before the first answer and
  /// for a store that has no epochs. It changes before the callback of the answer runs, and all
  /// watches end then.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  virtual std::uint64_t Epoch() const { return 0; }

  /// Reads all entries whose key starts with aPrefix (the one entry if aExact).
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  virtual void Range(std::string aPrefix, bool aExact, StoreCallback<StoreRange> aDone) = 0;

  /// Applies the writes if all conditions hold.
  ///
  /// Preconditions: aTransaction has at least one write. Thread safety: callable from any thread.
  virtual void Commit(StoreTransaction aTransaction,
                      StoreCallback<StoreTransactionResult> aDone) = 0;

  /// Grants a lease; the store may grant another time to live than aTimeToLive.
  ///
  /// Preconditions: aTimeToLive is at least 1 s. Thread safety: callable from any thread.
  virtual void GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aDone) = 0;

  /// Renews a lease; returns the time to live that it has from the arrival of the call, 0 when it
  /// has run out.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  virtual void KeepAlive(std::int64_t aLease, StoreCallback<std::chrono::milliseconds> aDone) = 0;

  /// Watches keys that start with aPrefix from aFromRevision on. The watch ends with its first
  /// error; the caller reads the range again and starts a new watch.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  virtual void Watch(std::string aPrefix, std::uint64_t aFromRevision, WatchCallback aEvents) = 0;

  /// Sets the time in which the loss of a watch of aPrefix is noticed, for the watches that run and
  /// those that begin later; without a value the store's own time applies. A short one costs calls.
  /// A store that does not offer this ignores it.
  ///
  /// Preconditions: aInterval is above 0. Thread safety: callable from any thread.
  virtual void SetWatchInterval(const std::string& /*aPrefix*/,
                                std::optional<std::chrono::milliseconds> /*aInterval*/)
  {
  }
};

} // namespace redwing
