#include "peer/Handshake.hpp"

#include "core/Hash.hpp"
#include "core/WireArchive.hpp"

#include <openssl/rand.h>
#include <utility>

namespace redwing {

namespace {

constexpr std::uint32_t kProtocolVersion = 3;
constexpr std::size_t kNonceBytes = 32;

std::string
MakeNonce()
{
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), kNonceBytes) != 1) {
    // Without randomness no link can be authenticated.
    throw std::runtime_error("no random bytes for the link handshake");
  }
  return nonce;
}

void
AppendAdditions(std::string& aText, std::uint32_t aAdditions)
{
  if (aAdditions != kNoAdditions) {
    WireOutput(aText, {})(aAdditions);
  }
}

std::uint32_t
ReadAdditions(WireInput& aArchive)
{
  std::uint32_t additions = kNoAdditions;
  if (aArchive.Left() > 0) {
    aArchive(additions);
  }
  return additions;
}

} // namespace

Handshake::Handshake(Side aSide, InstanceRef aSelf, std::string aFleetKey, std::uint32_t aAdditions)
  : side_(aSide)
  , self_(std::move(aSelf))
  , fleetKey_(std::move(aFleetKey))
  , additions_(aAdditions)
  , ownNonce_(MakeNonce())
{
}

std::string
Handshake::Hello() const
{
  std::string text;
  WireOutput(text, {})(kProtocolVersion, ownNonce_, self_);
  AppendAdditions(text, additions_);
  return text;
}

std::optional<std::string>
Handshake::AnswerHello(std::string_view aHello)
{
  try {
    std::uint32_t version = 0;
    WireInput archive(aHello, {});
    archive(version, peerNonce_, peer_);
    peerAdditions_ = ReadAdditions(archive);
    if (version != kProtocolVersion || peerNonce_.size() != kNonceBytes || peer_.Empty()) {
      return std::nullopt;
    }
  } catch (const WireError&) {
    return std::nullopt;
  }
  std::string text;
  WireOutput(text, {})(ownNonce_, self_, Digest("acceptor"));
  AppendAdditions(text, additions_);
  return text;
}

std::optional<std::string>
Handshake::AnswerChallenge(std::string_view aChallenge)
{
  std::string digest;
  try {
    WireInput archive(aChallenge, {});
    archive(peerNonce_, peer_, digest);
    peerAdditions_ = ReadAdditions(archive);
  } catch (const WireError&) {
    return std::nullopt;
  }
  if (peerNonce_.size() != kNonceBytes || peer_.Empty() ||
      !EqualConstantTime(digest, Digest("acceptor"))) {
    return std::nullopt;
  }
  return Digest("initiator");
}

bool
Handshake::VerifyProof(std::string_view aProof) const
{
  return EqualConstantTime(aProof, Digest("initiator"));
}

LinkKeys
Handshake::Keys() const
{
  // An older build derives its keys from the labels alone.
  const std::string suffix =
    Additions() == kNoAdditions ? std::string() : " with additions " + std::to_string(Additions());
  return { Digest("frames from initiator" + suffix), Digest("frames from acceptor" + suffix) };
}

std::string
Handshake::Digest(std::string_view aLabel) const
{
  const bool initiator = side_ == Side::Initiator;
  std::string text;
  WireOutput(text, {})(std::string(aLabel),
                       initiator ? ownNonce_ : peerNonce_,
                       initiator ? peerNonce_ : ownNonce_,
                       initiator ? self_ : peer_,
                       initiator ? peer_ : self_);
  const auto digest = HmacSha256(fleetKey_, text);
  return { reinterpret_cast<const char*>(digest.data()), digest.size() };
}

} // namespace redwing
