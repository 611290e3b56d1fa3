#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace redwing {

/// How the descriptors of a process are divided; all 0 if their number is not known.
struct DescriptorShares
{
  /// Connections of callers.
  std::size_t callers_ = 0;
  /// Connections to the backend server.
  std::size_t server_ = 0;
  /// Connections that other instances open. Links to them, the store, heartbeats, probes and
  /// operators have what is left.
  std::size_t peers_ = 0;

  /// Divides aDescriptors, of which the platform keeps 200 for files. Callers never take the
  /// reserve, which is a quarter of the sockets.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static DescriptorShares Of(std::uint32_t aDescriptors)
  {
    constexpr std::size_t kFiles = 200;
    constexpr std::size_t kReservePart = 4;
    if (aDescriptors == 0) {
      return {};
    }
    const std::size_t sockets = aDescriptors > kFiles ? aDescriptors - kFiles : 0;
    const std::size_t reserve = sockets / kReservePart;
    const std::size_t part = std::max<std::size_t>(reserve / 3, 1);
    return { std::max<std::size_t>(sockets - reserve, 1), part, part };
  }
};

} // namespace redwing
