#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// IPv4 address in dotted form and a port.
struct Address
{
  std::string ip_;
  std::uint16_t port_ = 0;

  bool operator==(const Address&) const = default;

  /// Returns `ip:port`.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::string ToString() const;

  /// Parses `ip:port`; returns nothing unless both parts are valid and the port is not 0.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::optional<Address> Parse(std::string_view aText);

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(ip_, port_);
  }
};

} // namespace redwing
