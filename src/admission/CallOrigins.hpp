#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace redwing {

/// Learns at the serving instance which routes carry calls of servers, where requests have no
/// workspace by whose absence a call could be told.
///
/// Answers the load of a service that serves callers and other servers alike: a call must not wait
/// behind the requests of callers, since the request that makes it holds a slot elsewhere
/// meanwhile, while the requests of callers must be refused as soon as they would be late. Callers
/// send to instances beside servers of any service, a server only to the instance beside it. So the
/// requests of a route that come from one service alone are calls of that service, provided that
/// other requests come from several.
class CallOrigins
{
public:
  /// Counts a request of aRoute that was taken by an instance beside a server of aOrigin.
  ///
  /// Preconditions: aNow never decreases. Thread safety: not thread-safe.
  void OnArrival(std::string_view aRoute, std::string_view aOrigin, TimePoint aNow);

  /// Returns whether the requests of aRoute are calls, as far as is known. Without enough requests
  /// they are taken for calls, which are never refused for being late.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool IsCall(std::string_view aRoute) const;

private:
  struct Origins
  {
    /// Requests by origin; all are halved at intervals, so that a route that changes is seen.
    std::map<std::string, std::uint32_t, std::less<>> counts_;
    std::uint32_t total_ = 0;
  };
  struct TextHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>()(aText);
    }
  };

  void Age(TimePoint aNow);

  std::unordered_map<std::string, Origins, TextHash, std::equal_to<>> routes_;
  TimePoint nextAge_{};
};

} // namespace redwing
