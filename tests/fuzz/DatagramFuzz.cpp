#include "FuzzTarget.hpp"
#include "control/ControlCodec.hpp"
#include "control/EntryCodec.hpp"
#include "control/MemberFact.hpp"
#include "control/ShardRowCodec.hpp"
#include "core/Hash.hpp"

using namespace redwing;
using redwing::fuzz::Require;

namespace {

const std::string kKey = "0123456789abcdef";
const TimePoint kNow{ std::chrono::hours(1000) };
constexpr std::size_t kTagBytes = 16;

/// Returns aBody as a datagram of a sender that has the fleet key.
std::string
Authentic(std::string_view aBody)
{
  const Sha256Digest digest = HmacSha256(kKey, aBody);
  std::string bytes(reinterpret_cast<const char*>(digest.data()), kTagBytes);
  return bytes.append(aBody);
}

} // namespace

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes = fuzz::View(aData, aSize);
  const ControlCodec codec(kKey);
  Require(!codec.DecodeDatagram(bytes), "a datagram without the fleet key is refused");

  // A faulty sender with the key, for example one of another version.
  if (const auto received = codec.DecodeDatagram(Authentic(bytes))) {
    const std::string encoded = codec.EncodeDatagram(received->from_, received->datagram_);
    const auto again = codec.DecodeDatagram(encoded);
    Require(again && codec.EncodeDatagram(again->from_, again->datagram_) == encoded,
            "a datagram survives a round trip");
  }
  if (const auto call = ControlCodec::DecodeCall(bytes)) {
    Require(ControlCodec::DecodeCall(ControlCodec::Encode(*call)).has_value(), "a call survives");
  }
  if (const auto reply = ControlCodec::DecodeReply(bytes)) {
    Require(ControlCodec::DecodeReply(ControlCodec::Encode(*reply)).has_value(),
            "a reply survives");
  }
  if (const auto entries = DecodeEntries(bytes, kNow)) {
    const std::string encoded = EncodeEntries(*entries, kNow);
    const auto again = DecodeEntries(encoded, kNow);
    Require(again && EncodeEntries(*again, kNow) == encoded, "entries survive a round trip");
  }
  if (const auto quarantine = DecodeQuarantine(bytes, kNow)) {
    Require(DecodeQuarantine(EncodeQuarantine(*quarantine, kNow), kNow).has_value(),
            "a poison entry survives");
  }
  if (const auto fact = MemberFact::Decode(bytes)) {
    Require(MemberFact::Decode(fact->Encode()).has_value(), "a member fact survives");
  }
  if (const auto row = DecodeRow(bytes)) {
    Require(DecodeRow(EncodeRow(*row)) == row, "a row survives a round trip");
  }
  if (const auto rows = DecodeChunk("booking", bytes)) {
    Require(DecodeChunk("booking", EncodeChunk(*rows)) == rows, "a chunk survives a round trip");
  }
  return 0;
}
