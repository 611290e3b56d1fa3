#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace redwing {

/// What a backend server says of its load in a response.
struct ServerLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  /// Factor by which work takes longer than usual; not all servers say so.
  std::optional<double> slowdown_;

  /// Returns whether a further request could run at once.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool HasFreeSlot() const { return waiting_ == 0 && running_ < slots_; }
};

/// Reads `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PERCENT`; nothing if aText is not of
/// this form. A percentage that makes no sense is left out.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<ServerLoad> ParseServerLoad(std::string_view aText);

} // namespace redwing
