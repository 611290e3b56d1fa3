#pragma once

#include "core/Finding.hpp"
#include "rollout/RolloutTypes.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace redwing {

/// Store keys and decoder of the operator's rollout orders.
struct RolloutOrderFormat
{
  /// Prefix of orders, followed by the service; empty if orders are ignored.
  std::string prefix_;
  std::function<tl::expected<RolloutOrder, Findings>(std::string_view)> decode_;
  /// Takes all present orders after a change.
  std::function<void(std::vector<RolloutOrder>)> adopt_;
};

/// Collects the operator's rollout orders from the entries that ConfigurationFeed reads. An invalid
/// order is logged and changes nothing.
///
/// When the store came back from an older copy, orders that it lacks, or has in an older form, are
/// kept for a time, in which the operator may write them again.
class RolloutOrderFeed
{
public:
  explicit RolloutOrderFeed(RolloutOrderFormat aFormat);

  /// Returns whether an entry is an order.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  bool Owns(const std::string& aKey) const;

  /// Takes an entry; without a value it was deleted.
  ///
  /// Preconditions: Owns(aKey).
  void OnEntry(const std::string& aKey,
               const std::optional<std::string>& aValue,
               std::uint64_t aRevision);

  /// Takes the keys of all entries that a read has found.
  ///
  /// Preconditions: OnEntry was called for each of them.
  void OnRead(const std::set<std::string>& aKeys);

  /// Begins to keep the present orders.
  ///
  /// Preconditions: none.
  void Keep();

  /// Ends to keep orders; returns whether there are any, so that the entries must be read again.
  ///
  /// Preconditions: none.
  bool EndKeep();

  /// Passes on all orders if they have changed.
  ///
  /// Preconditions: none.
  void Publish();

private:
  RolloutOrderFormat format_;
  std::map<std::string, RolloutOrder> orders_;
  std::set<std::string> kept_;
  /// Revision of the invalid entry that was logged last, by key.
  std::map<std::string, std::uint64_t> rejected_;
  bool changed_ = false;
};

} // namespace redwing
