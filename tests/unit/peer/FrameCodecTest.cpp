#include "peer/FrameCodec.hpp"

#include "core/Random.hpp"

#include <boost/test/unit_test.hpp>
#include <cstring>

using namespace redwing;

namespace {

const TimePoint kNow{ std::chrono::seconds(50) };
const std::string kKey = "0123456789abcdef";

RequestStart
MakeStart()
{
  RequestStart start;
  start.key_ = { 3, 42 };
  start.requestId_ = "r-1";
  start.service_ = "booking";
  start.headers_ = { { "Accept", "*/*" }, { "X-A", "" } };
  start.deadline_ = kNow + std::chrono::milliseconds(250);
  start.answerBy_ = kNow + std::chrono::milliseconds(90);
  start.shard_ = ShardTarget{ 17, 9 };
  start.contentLength_ = 5;
  start.body_ = std::string("a\0b\r\n", 5);
  return start;
}

std::string
EncodeFrame(const LinkMessage& aMessage)
{
  std::string bytes;
  FrameEncoder(kKey).Encode({ &aMessage, 1 }, kNow, bytes);
  return bytes;
}

} // namespace

// Guards against fields lost on the wire and against deadlines that depend on the sender's clock.
BOOST_AUTO_TEST_CASE(RequestSurvivesAndDeadlineTravelsAsRemainingTime)
{
  const TimePoint otherClock{ std::chrono::hours(9) };
  auto messages = FrameDecoder(kKey).Feed(EncodeFrame(MakeStart()), otherClock);
  BOOST_REQUIRE(messages.has_value());
  BOOST_REQUIRE(messages->size() == 1);
  const auto& start = std::get<RequestStart>(messages->front());
  BOOST_TEST(start.key_.exchangeId_ == 42U);
  BOOST_TEST((start.headers_ == MakeStart().headers_));
  BOOST_TEST(start.shard_->token_ == 9U);
  BOOST_TEST(*start.contentLength_ == 5U);
  BOOST_TEST(start.body_ == MakeStart().body_);
  BOOST_TEST((start.deadline_ - otherClock == std::chrono::milliseconds(250)));
  BOOST_TEST((start.answerBy_ - otherClock == std::chrono::milliseconds(90)));
}

// Guards against an addition that an older build would take for the next message, and against a
// changed form of what it reads.
BOOST_AUTO_TEST_CASE(AdditionsGoOnlyToPeersThatReadThem)
{
  Refusal refusal;
  refusal.load_ = { 1, 2, 3, 4, 5, 6 };
  const std::vector<LinkMessage> sent{ refusal, Pong{ 7 } };
  for (const std::uint32_t additions : { kNoAdditions, kOwnAdditions }) {
    std::string bytes;
    FrameEncoder(kKey, additions).Encode(sent, kNow, bytes);
    const auto messages = FrameDecoder(kKey, additions).Feed(bytes, kNow);
    BOOST_REQUIRE(messages.has_value());
    BOOST_REQUIRE(messages->size() == 2);
    const auto& load = std::get<Refusal>(messages->front()).load_;
    BOOST_TEST(load.serviceTimeUs_ == 4U);
    BOOST_TEST(load.byteWaitUs_ == (additions == kNoAdditions ? 0U : 5U));
    BOOST_TEST(load.byteTimeUs_ == (additions == kNoAdditions ? 0U : 6U));
    BOOST_TEST(std::get<Pong>(messages->back()).number_ == 7U);
  }
  std::string older;
  EncodeMessage(refusal, kNow, older);
  std::string newer;
  EncodeMessage(refusal, kNow, newer, kOwnAdditions);
  BOOST_TEST(newer.size() == older.size() + 2 * sizeof(std::uint32_t));
  BOOST_TEST(newer.starts_with(older));
}

// Guards against links between builds of which only one knows an addition that use it or do not
// come about, and against a statement that was changed on its way.
BOOST_AUTO_TEST_CASE(AdditionsAreAgreedInTheHandshake)
{
  const auto additionsOf = [](std::uint32_t aInitiator, std::uint32_t aAcceptor) {
    Handshake initiator(Handshake::Side::Initiator, { "a", 1 }, kKey, aInitiator);
    Handshake acceptor(Handshake::Side::Acceptor, { "b", 1 }, kKey, aAcceptor);
    const auto proof = initiator.AnswerChallenge(*acceptor.AnswerHello(initiator.Hello()));
    BOOST_TEST(acceptor.VerifyProof(*proof));
    BOOST_TEST(initiator.Additions() == acceptor.Additions());
    BOOST_TEST(initiator.Keys().fromAcceptor_ == acceptor.Keys().fromAcceptor_);
    return initiator.Additions();
  };
  BOOST_TEST(additionsOf(kOwnAdditions, kOwnAdditions) == kOwnAdditions);
  BOOST_TEST(additionsOf(kNoAdditions, kOwnAdditions) == kNoAdditions);
  BOOST_TEST(additionsOf(kOwnAdditions, kNoAdditions) == kNoAdditions);

  Handshake initiator(Handshake::Side::Initiator, { "a", 1 }, kKey);
  Handshake acceptor(Handshake::Side::Acceptor, { "b", 1 }, kKey);
  std::string hello = initiator.Hello();
  hello.resize(hello.size() - sizeof(std::uint32_t));
  (void)initiator.AnswerChallenge(*acceptor.AnswerHello(hello));
  BOOST_TEST(initiator.Keys().fromAcceptor_ != acceptor.Keys().fromAcceptor_);
}

// Guards against requests that run after their callers were told otherwise: on the grown sites,
// whose links carry 10 Mbit/s, frames were up to a second on their way, and the deadline moved by
// as much.
BOOST_AUTO_TEST_CASE(TheDelayOfAFrameIsTakenOffTheDeadline)
{
  using std::chrono::milliseconds;
  FrameEncoder encoder(kKey);
  FrameDecoder decoder(kKey);
  const auto deadlineOf = [&](milliseconds aSentAfter, milliseconds aReceivedAfter) {
    RequestStart start = MakeStart();
    start.deadline_ = kNow + aSentAfter + milliseconds(1000);
    const LinkMessage message(std::move(start));
    std::string bytes;
    encoder.Encode({ &message, 1 }, kNow + aSentAfter, bytes);
    const TimePoint otherClock{ std::chrono::hours(9) };
    const auto messages = decoder.Feed(bytes, otherClock + aReceivedAfter);
    BOOST_REQUIRE(messages.has_value());
    return std::get<RequestStart>(messages->front()).deadline_ - otherClock;
  };
  BOOST_TEST((deadlineOf(milliseconds(0), milliseconds(2)) == milliseconds(1002)));
  BOOST_TEST((deadlineOf(milliseconds(100), milliseconds(802)) == milliseconds(1102)));
  BOOST_TEST((deadlineOf(milliseconds(900), milliseconds(902)) == milliseconds(1902)));
}

// Guards against a decoder that needs a frame in one piece, and against messages lost or reordered
// at frame limits.
BOOST_AUTO_TEST_CASE(MessagesArriveInOrderHoweverTheBytesAreSplit)
{
  std::vector<LinkMessage> sent;
  for (std::uint64_t i = 0; i < 20; ++i) {
    sent.emplace_back(RequestBody{ { 0, i }, std::string(kMaxChunkBytes, 'x'), i % 2 == 0 });
  }
  std::string bytes;
  FrameEncoder(kKey).Encode(sent, kNow, bytes);
  FrameDecoder decoder(kKey);
  Random random(1);
  std::vector<LinkMessage> received;
  for (std::size_t at = 0; at < bytes.size();) {
    const auto size = std::min<std::size_t>(bytes.size() - at, 1 + random.Below(100000));
    auto messages = decoder.Feed(std::string_view(bytes).substr(at, size), kNow);
    BOOST_REQUIRE(messages.has_value());
    std::move(messages->begin(), messages->end(), std::back_inserter(received));
    at += size;
  }
  BOOST_REQUIRE(received.size() == sent.size());
  for (std::uint64_t i = 0; i < sent.size(); ++i) {
    BOOST_TEST(std::get<RequestBody>(received[i]).key_.exchangeId_ == i);
  }
}

// Guards against accepting frames that were altered, replayed or made with another key.
BOOST_AUTO_TEST_CASE(AlteredReplayedAndForeignFramesAreRejected)
{
  const auto frame = EncodeFrame(MakeStart());
  for (std::size_t i = kFrameLengthBytes; i < frame.size(); ++i) {
    auto altered = frame;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    BOOST_TEST(!FrameDecoder(kKey).Feed(altered, kNow).has_value());
  }
  FrameDecoder decoder(kKey);
  BOOST_TEST(decoder.Feed(frame, kNow).has_value());
  BOOST_TEST((decoder.Feed(frame, kNow).error() == FrameError::BadMac));
  BOOST_TEST((FrameDecoder("other").Feed(frame, kNow).error() == FrameError::BadMac));
}

// Guards against a length that makes the decoder wait for or allocate more than the maximum.
BOOST_AUTO_TEST_CASE(OversizedLengthIsRejectedBeforeThePayloadArrives)
{
  const std::uint32_t length = kMaxFrameBytes + 1;
  std::string bytes(kFrameLengthBytes, '\0');
  std::memcpy(bytes.data(), &length, sizeof(length));
  BOOST_TEST((FrameDecoder(kKey).Feed(bytes, kNow).error() == FrameError::Oversized));
}

// Guards against crashes and huge allocations on hostile message bytes: every truncation is an
// error, and random changes give an error or a message, never undefined behaviour.
BOOST_AUTO_TEST_CASE(HostileMessagesGiveErrors)
{
  std::string payload;
  EncodeMessage(MakeStart(), kNow, payload);
  for (std::size_t size = 1; size < payload.size(); ++size) {
    BOOST_TEST(!DecodeMessages(std::string_view(payload).substr(0, size), kNow).has_value());
  }
  BOOST_TEST(!DecodeMessages("\xff", kNow).has_value());
  Random random(7);
  for (int round = 0; round < 20000; ++round) {
    auto altered = payload;
    for (int change = 0; change < 4; ++change) {
      altered[random.Below(altered.size())] = static_cast<char>(random.Bits());
    }
    (void)DecodeMessages(altered, kNow);
  }
}
