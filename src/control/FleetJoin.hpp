#pragma once

#include "core/Address.hpp"
#include "routing/RoutingView.hpp"
#include "store/Store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace redwing {

constexpr std::string_view kMemberPrefix = "/redwing/members/";

/// Result of a join.
struct JoinResult
{
  /// Incarnation that this process may use.
  std::uint64_t incarnation_ = 0;
  /// Addresses of the other registered instances by id.
  std::map<std::string, Address, std::less<>> contacts_;
};

/// Registers this process in the store under `/redwing/members/<id>`, with a higher incarnation
/// than any earlier process with the same id.
///
/// The upper bits of an incarnation are a process counter kept in the store. The lower bits count
/// the rejoins of one process, so that a rejoin needs no store call.
class FleetJoin
{
public:
  /// Number of low bits of an incarnation that count the rejoins of a process.
  static constexpr unsigned kRejoinBits = 20;

  using OnDone = std::function<void(StoreResult<JoinResult>)>;

  FleetJoin(Store& aStore, Member aSelf, std::uint64_t aNonce);

  /// Reads the registered members and writes the row of this process. After a lost reply, another
  /// call finds out from the nonce whether the write took effect.
  ///
  /// Preconditions: no call is in progress. Thread safety: control thread only.
  void Start(OnDone aDone);

private:
  void Write(const StoreRange& aRange);
  void Fail(const StoreError& aError);

  Store& store_;
  Member self_;
  std::uint64_t nonce_;
  JoinResult result_;
  OnDone done_;
};

} // namespace redwing
