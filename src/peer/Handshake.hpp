#pragma once

#include "ownership/ShardRow.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

/// Largest message of the handshake; nothing more is read from a peer that has not proved its key.
constexpr std::size_t kMaxHandshakeBytes = 1024;

/// Keys of an established link, one for each direction.
struct LinkKeys
{
  std::string fromInitiator_;
  std::string fromAcceptor_;
};

/// Additions to messages that an instance may read. Messages have no length of their own in a
/// frame, so an addition is only sent to a peer that has stated that it reads it. Each has one bit.
constexpr std::uint32_t kNoAdditions = 0;
/// The times of bytes in a LoadReport.
constexpr std::uint32_t kByteTimes = 1;
constexpr std::uint32_t kOwnAdditions = kByteTimes;

/// Mutual challenge-response with the fleet key, without I/O.
///
/// Initiator: Hello(nonce, ref). Acceptor: Challenge(nonce, ref, HMAC). Initiator: Proof(HMAC).
/// Each HMAC covers the side's name, both nonces and both refs, so that it can't be reflected or
/// replayed. The keys of the link are derived from the fleet key and both nonces. Hello and
/// Challenge end with the additions that the side reads; an older build sends none and does not
/// read them. The additions of both sides are part of the keys.
class Handshake
{
public:
  enum class Side
  {
    Initiator,
    Acceptor,
  };

  Handshake(Side aSide,
            InstanceRef aSelf,
            std::string aFleetKey,
            std::uint32_t aAdditions = kOwnAdditions);

  /// Returns the first message.
  ///
  /// Preconditions: initiator. Thread safety: not thread-safe.
  std::string Hello() const;

  /// Takes the Hello and returns the Challenge; nothing if it is malformed.
  ///
  /// Preconditions: acceptor. Thread safety: not thread-safe.
  std::optional<std::string> AnswerHello(std::string_view aHello);

  /// Takes the Challenge and returns the Proof; nothing if the acceptor lacks the fleet key.
  ///
  /// Preconditions: initiator. Thread safety: not thread-safe.
  std::optional<std::string> AnswerChallenge(std::string_view aChallenge);

  /// Returns whether aProof shows that the initiator has the fleet key.
  ///
  /// Preconditions: acceptor, after AnswerHello. Thread safety: not thread-safe.
  bool VerifyProof(std::string_view aProof) const;

  /// Returns the other side's instance.
  ///
  /// Preconditions: the other side's ref was received. Thread safety: not thread-safe.
  const InstanceRef& Peer() const { return peer_; }

  /// Returns the additions that both sides read.
  ///
  /// Preconditions: the handshake succeeded. Thread safety: not thread-safe.
  std::uint32_t Additions() const { return additions_ & peerAdditions_; }

  /// Returns the keys for the frames that follow.
  ///
  /// Preconditions: the handshake succeeded. Thread safety: not thread-safe.
  LinkKeys Keys() const;

private:
  std::string Digest(std::string_view aLabel) const;

  Side side_;
  InstanceRef self_;
  std::string fleetKey_;
  std::uint32_t additions_;
  std::uint32_t peerAdditions_ = kNoAdditions;
  std::string ownNonce_;
  std::string peerNonce_;
  InstanceRef peer_;
};

} // namespace redwing
