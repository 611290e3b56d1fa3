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

/// Outcome of a join: the incarnation that this process may use, and the addresses of the others.
struct JoinResult
{
  std::uint64_t incarnation_ = 0;
  std::map<std::string, Address, std::less<>> contacts_;
};

/// Registers this process in the store under `/redwing/members/<id>` with a higher incarnation than
/// any earlier process of the same id.
///
/// The store counts processes in the upper bits of the incarnation; the lower bits count rejoins
/// within a process, which therefore need no store call.
class FleetJoin
{
public:
  /// Bits of an incarnation that count rejoins within a process.
  static constexpr unsigned kRejoinBits = 20;

  using OnDone = std::function<void(StoreResult<JoinResult>)>;

  FleetJoin(Store& aStore, Member aSelf, std::uint64_t aNonce);

  /// Reads the members and writes this process's row. A lost reply is resolved by reading again.
  ///
  /// Preconditions: no call is under way. Thread safety: control thread only.
  void Start(OnDone aDone);

private:
  void Write(const StoreRange& aRange);
  void Finish(const StoreError& aError);

  Store& store_;
  Member self_;
  std::uint64_t nonce_;
  JoinResult result_;
  OnDone done_;
};

} // namespace redwing
