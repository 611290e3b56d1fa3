#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace redwing {

struct OverloadRetrySettings
{
  /// Pools with at most this many members are not limited: their size bounds the attempts.
  std::size_t unlimitedMembers_ = 8;
  /// Failed attempts at further members that each request earns.
  double earned_ = 1.0;
  /// Most that a route saves up, for a moment in which many members are full.
  double reserve_ = 20.0;
};

/// Limits the attempts at further members of requests that were refused as overloaded, by route.
/// Attempts that are answered are free. With members asked at random, requests are refused early
/// from about 62 % full members on; when none accepts, each request fails at two members on
/// average.
///
/// The load that this answers: all 44 members of a pool are full. If each request is passed to all
/// of them, 500 requests a second reach each member, which serves 75; their 1.1 MB/s fill its link
/// of 10 Mbit/s, and the requests that it could serve arrive more than a second late.
class OverloadRetries
{
public:
  /// Creates the limits of one instance, with full reserves.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  explicit OverloadRetries(const OverloadRetrySettings& aSettings = {});

  /// Counts a request of aRoute.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnRequest(std::string_view aRoute);

  /// Returns whether a refused request of aRoute may be sent to another one of aMembers members,
  /// and counts the attempt.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool TryTake(std::string_view aRoute, std::size_t aMembers);

  /// Records that an attempt which TryTake allowed was answered by the server. One that ends
  /// otherwise, such as by its deadline, counts as failed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnAnswered(std::string_view aRoute);

private:
  double& Saved(std::string_view aRoute);
  void Add(std::string_view aRoute, double aAttempts);

  OverloadRetrySettings settings_;
  std::unordered_map<std::string, double> saved_;
};

} // namespace redwing
