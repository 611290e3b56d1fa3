#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace redwing {

/// Decaying average of sizes, and a size that few responses exceed, in bytes.
struct ResponseSize
{
  std::uint64_t mean_ = 0;
  std::uint64_t most_ = 0;
};

/// Expected size of a response by route, learnt from the responses of one backend server.
class ResponseSizes
{
public:
  /// Adds the size of a response of aRoute.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Add(const std::string& aRoute, std::uint64_t aBytes);

  /// Returns the expected size of a response of aRoute; without samples a small size, so that the
  /// route is admitted and provides samples.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  ResponseSize Expected(const std::string& aRoute) const;

  /// Returns the expected size of a response of any route; 0 without samples.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint64_t Any() const { return static_cast<std::uint64_t>(any_); }

private:
  struct Moments
  {
    double mean_ = 0;
    double variance_ = 0;
  };

  std::unordered_map<std::string, Moments> routes_;
  double any_ = 0;
};

} // namespace redwing
