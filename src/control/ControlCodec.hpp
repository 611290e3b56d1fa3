#pragma once

#include "control/ControlMessage.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// An authenticated datagram and its sender.
struct ReceivedDatagram
{
  InstanceRef from_;
  ControlDatagram datagram_;
};

/// Encodes and decodes control messages. Each datagram carries a truncated HMAC-SHA-256 computed
/// with the fleet key, so that datagrams from outside the fleet are rejected.
class ControlCodec
{
public:
  explicit ControlCodec(std::string aFleetKey);

  /// Encodes a datagram and prepends its authentication tag.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::string EncodeDatagram(const InstanceRef& aFrom, const ControlDatagram& aDatagram) const;

  /// Returns nullopt if aBytes are malformed or fail authentication.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::optional<ReceivedDatagram> DecodeDatagram(std::string_view aBytes) const;

  /// Calls use authenticated peer links and therefore carry no HMAC. The decoders return nullopt if
  /// aBytes are malformed.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::string Encode(const ControlCall& aCall);
  static std::string Encode(const ControlCallReply& aReply);
  static std::optional<ControlCall> DecodeCall(std::string_view aBytes);
  static std::optional<ControlCallReply> DecodeReply(std::string_view aBytes);

private:
  std::string fleetKey_;
};

} // namespace redwing
