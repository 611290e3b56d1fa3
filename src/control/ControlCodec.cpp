#include "control/ControlCodec.hpp"

#include "core/Hash.hpp"
#include "core/WireArchive.hpp"

#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace cereal {

template<typename Archive>
void
serialize(Archive&, std::monostate&)
{
}

} // namespace cereal

namespace redwing {

namespace {

/// Length of the truncated HMAC at the start of a datagram.
constexpr std::size_t kTagBytes = 16;

/// Returns nullopt if aBytes are malformed.
template<typename Value>
std::optional<Value>
Read(std::string_view aBytes)
{
  Value value;
  if (!ReadWire(aBytes, value)) {
    return std::nullopt;
  }
  return value;
}

/// The part of a datagram that the HMAC covers.
struct AuthenticatedPart
{
  InstanceRef from_;
  ControlDatagram datagram_;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(from_, datagram_);
  }
};

std::string_view
TagOf(const Sha256Digest& aDigest)
{
  return { reinterpret_cast<const char*>(aDigest.data()), kTagBytes };
}

} // namespace

ControlCodec::ControlCodec(std::string aFleetKey)
  : fleetKey_(std::move(aFleetKey))
{
}

std::string
ControlCodec::EncodeDatagram(const InstanceRef& aFrom, const ControlDatagram& aDatagram) const
{
  const std::string body = WriteWire(aFrom, aDatagram);
  const Sha256Digest digest = HmacSha256(fleetKey_, body);
  std::string bytes(TagOf(digest));
  bytes += body;
  return bytes;
}

std::optional<ReceivedDatagram>
ControlCodec::DecodeDatagram(std::string_view aBytes) const
{
  if (aBytes.size() < kTagBytes) {
    return std::nullopt;
  }
  const std::string_view body = aBytes.substr(kTagBytes);
  const Sha256Digest digest = HmacSha256(fleetKey_, body);
  if (!EqualConstantTime(TagOf(digest), aBytes.substr(0, kTagBytes))) {
    return std::nullopt;
  }
  auto part = Read<AuthenticatedPart>(body);
  if (!part) {
    return std::nullopt;
  }
  return ReceivedDatagram{ std::move(part->from_), std::move(part->datagram_) };
}

std::string
ControlCodec::Encode(const ControlCall& aCall)
{
  return WriteWire(aCall);
}

std::string
ControlCodec::Encode(const ControlCallReply& aReply)
{
  return WriteWire(aReply);
}

std::optional<ControlCall>
ControlCodec::DecodeCall(std::string_view aBytes)
{
  return Read<ControlCall>(aBytes);
}

std::optional<ControlCallReply>
ControlCodec::DecodeReply(std::string_view aBytes)
{
  return Read<ControlCallReply>(aBytes);
}

} // namespace redwing
