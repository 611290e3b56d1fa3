#include "control/ControlCodec.hpp"
#include "control/EntryCodec.hpp"
#include "control/MemberFact.hpp"
#include "core/WireArchive.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;

namespace {

const TimePoint kNow{ std::chrono::seconds(50) };
const InstanceRef kSelf{ "i1", 3 };

ControlDatagram
MakeRound()
{
  GossipRound round;
  round.items_ = { { "m/i1", { 3, 1 }, "payload" } };
  round.digest_ = 77;
  round.configurationRevision_ = 7;
  return round;
}

IdempotencyEntry
Entry()
{
  IdempotencyEntry entry;
  entry.key_ = { { "booking", 17 }, "retail", "k1" };
  entry.fingerprint_ = 9;
  entry.response_ = StoredResponse{};
  entry.response_->status_ = 201;
  entry.response_->body_ = "done";
  entry.expiry_ = kNow + std::chrono::seconds(5);
  return entry;
}

} // namespace

// Guards against datagram fields that are lost when encoded and decoded.
BOOST_AUTO_TEST_CASE(DatagramRoundTripKeepsAllFields)
{
  const ControlCodec codec("0123456789abcdef");
  const auto received = codec.DecodeDatagram(codec.EncodeDatagram(kSelf, MakeRound()));
  BOOST_REQUIRE(received.has_value());
  BOOST_TEST((received->from_ == kSelf));
  const auto& round = std::get<GossipRound>(received->datagram_);
  BOOST_TEST((round.items_ == std::get<GossipRound>(MakeRound()).items_));
  BOOST_TEST(round.digest_ == 77U);
  BOOST_TEST(round.configurationRevision_ == 7U);
}

// Guards against accepting unauthenticated datagrams: altered, truncated or encoded with another
// fleet key.
BOOST_AUTO_TEST_CASE(AlteredTruncatedAndForeignDatagramsAreRejected)
{
  const ControlCodec codec("0123456789abcdef");
  const std::string bytes = codec.EncodeDatagram(kSelf, MakeRound());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string altered = bytes;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    BOOST_TEST(!codec.DecodeDatagram(altered).has_value());
    BOOST_TEST(!codec.DecodeDatagram(std::string_view(bytes).substr(0, i)).has_value());
  }
  BOOST_TEST(!ControlCodec("another key of the").DecodeDatagram(bytes).has_value());
}

// Guards against a length field from a faulty instance that makes the receiver allocate terabytes
// (found by fuzz.datagram).
BOOST_AUTO_TEST_CASE(ElementCountBeyondTheMessageIsRejected)
{
  const std::uint32_t hostile = 0xffffffff;
  BOOST_TEST(!DecodeEntries(WriteWire(hostile), kNow).has_value());
  BOOST_TEST(!DecodeQuarantine(WriteWire(hostile), kNow).has_value());
  BOOST_TEST(!ControlCodec::DecodeCall(WriteWire(std::int32_t(0), hostile)).has_value());
  BOOST_TEST(!ControlCodec::DecodeReply(WriteWire(std::int32_t(1), hostile)).has_value());
  BOOST_TEST(!ControlCodec::DecodeCall(WriteWire(std::int32_t(99))).has_value());
}

// Guards against entries that are altered by replication to a successor, and against expiry times
// that depend on the sender's clock.
BOOST_AUTO_TEST_CASE(IdempotencyEntryRoundTripSendsExpiryAsRemainingTime)
{
  const IdempotencyEntry entry = Entry();
  const TimePoint otherClock{ std::chrono::hours(9) };
  const auto decoded = DecodeEntries(EncodeEntries({ &entry, 1 }, kNow), otherClock);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(decoded->size() == 1);
  const IdempotencyEntry& copy = decoded->front();
  BOOST_TEST(copy.key_.key_ == "k1");
  BOOST_TEST(copy.fingerprint_ == 9U);
  BOOST_REQUIRE(copy.response_.has_value());
  BOOST_TEST(copy.response_->status_ == 201U);
  BOOST_TEST(copy.response_->body_ == "done");
  BOOST_TEST((copy.expiry_ - otherClock == std::chrono::seconds(5)));
}

// Guards against a remaining time from a faulty instance that overflows the expiry (found by
// fuzz.datagram).
BOOST_AUTO_TEST_CASE(RemainingTimeIsLimited)
{
  const auto remaining = std::numeric_limits<std::int64_t>::max();
  const auto quarantine = DecodeQuarantine(
    WriteWire(std::string("booking"), std::uint64_t(9), std::uint32_t(0), remaining), kNow);
  BOOST_REQUIRE(quarantine.has_value());
  BOOST_TEST((quarantine->expiry_ > kNow));
  BOOST_TEST((quarantine->expiry_ <= kNow + std::chrono::hours(24)));
}

// Guards against an out-of-range backend state, which would index tables out of bounds.
BOOST_AUTO_TEST_CASE(MemberFactWithUnknownStateIsRejected)
{
  MemberFact fact;
  fact.member_.ref_ = kSelf;
  fact.member_.labels_["tier"] = "gold";
  BOOST_REQUIRE(MemberFact::Decode(fact.Encode()).has_value());
  BOOST_TEST(MemberFact::Decode(fact.Encode())->member_.labels_.at("tier") == "gold");
  fact.member_.state_ = static_cast<BackendState>(9);
  BOOST_TEST(!MemberFact::Decode(fact.Encode()).has_value());
}
