#include "FuzzTarget.hpp"
#include "core/Hash.hpp"
#include "peer/FrameCodec.hpp"
#include "peer/Handshake.hpp"

#include <cstring>

using namespace redwing;
using redwing::fuzz::Require;

namespace {

const std::string kKey = "0123456789abcdef";
const TimePoint kNow{ std::chrono::hours(1000) };

std::string
EncodeAll(const std::vector<LinkMessage>& aMessages, std::uint32_t aAdditions)
{
  std::string bytes;
  for (const LinkMessage& message : aMessages) {
    EncodeMessage(message, kNow, bytes, aAdditions);
  }
  return bytes;
}

/// Returns aMessages as the first frame of a sender that has the key.
std::string
AuthenticFrame(std::string_view aMessages)
{
  const std::string payload = std::string(kFrameTimeBytes, '\0').append(aMessages);
  const auto length = static_cast<std::uint32_t>(payload.size() + kFrameMacBytes);
  std::string frame(reinterpret_cast<const char*>(&length), sizeof(length));
  frame.append(payload).append(FrameAuthenticator(kKey).Next(payload));
  return frame;
}

} // namespace

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes = fuzz::View(aData, aSize);

  // A sender without the key: nothing it sends may be taken as a message.
  const auto foreign = FrameDecoder(kKey).Feed(bytes, kNow);
  Require(!foreign || foreign->empty(), "a frame without the key is refused");

  // A faulty sender with the key, in one piece and split.
  const auto decoded = DecodeMessages(bytes, kNow);
  if (kFrameTimeBytes + bytes.size() + kFrameMacBytes <= kMaxFrameBytes) {
    const std::string frame = AuthenticFrame(bytes);
    FrameDecoder decoder(kKey);
    const std::size_t half = frame.size() / 2;
    const auto first = decoder.Feed(std::string_view(frame).substr(0, half), kNow);
    Require(first.has_value() && first->empty(), "half a frame holds no message");
    const auto second = decoder.Feed(std::string_view(frame).substr(half), kNow);
    Require(second.has_value() == decoded.has_value(), "a split frame decodes alike");
  }
  for (const std::uint32_t additions : { kNoAdditions, kOwnAdditions }) {
    if (const auto messages = DecodeMessages(bytes, kNow, additions)) {
      const std::string encoded = EncodeAll(*messages, additions);
      const auto again = DecodeMessages(encoded, kNow, additions);
      Require(again.has_value() && EncodeAll(*again, additions) == encoded,
              "messages survive a round trip");
    }
  }

  // A peer without the fleet key.
  const InstanceRef self{ "a", 1 };
  Handshake acceptor(Handshake::Side::Acceptor, self, kKey);
  if (acceptor.AnswerHello(bytes)) {
    Require(!acceptor.VerifyProof(bytes), "a proof needs the fleet key");
  }
  Handshake initiator(Handshake::Side::Initiator, self, kKey);
  (void)initiator.Hello();
  Require(!initiator.AnswerChallenge(bytes), "a challenge needs the fleet key");
  return 0;
}
