#pragma once

#include "control/ControlMessage.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// A datagram with the instance that sent it.
struct ReceivedDatagram
{
  InstanceRef from_;
  ControlDatagram datagram_;
};

/// Encodes control messages. Datagrams carry a truncated HMAC-SHA-256 under the fleet key, so that
/// only instances of the fleet are heard.
class ControlCodec
{
public:
  explicit ControlCodec(std::string aFleetKey);

  /// Preconditions: none. Thread safety: callable from any thread.
  std::string EncodeDatagram(const InstanceRef& aFrom, const ControlDatagram& aDatagram) const;

  /// Returns nothing when the bytes are malformed or not authentic.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::optional<ReceivedDatagram> DecodeDatagram(std::string_view aBytes) const;

  /// Calls travel over authenticated links and carry no HMAC.
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
