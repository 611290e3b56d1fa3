#include "platform/HeartbeatCodec.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace redwing;
using namespace redwing::platform;

BOOST_AUTO_TEST_SUITE(Heartbeats)

// Guards against a heartbeat whose holds or handovers are lost in translation.
BOOST_AUTO_TEST_CASE(IsDecoded)
{
  const auto heartbeat = DecodeHeartbeat(
    "i-1",
    R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":12,
        "state":"draining","coldRemainingMs":250,"seq":4,"born":1789395282487,
        "holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e"]]})");
  BOOST_REQUIRE(heartbeat.has_value());
  BOOST_TEST(heartbeat->serverId_ == "i-1");
  BOOST_TEST(heartbeat->version_ == "v1");
  BOOST_TEST(heartbeat->startedAt_ == 1789395282487U);
  BOOST_TEST(heartbeat->sequence_ == 4U);
  BOOST_TEST(heartbeat->slots_ == 12U);
  BOOST_TEST(heartbeat->draining_);
  BOOST_TEST(heartbeat->coldFor_.count() == 250);
  BOOST_REQUIRE(heartbeat->holds_.size() == 1);
  BOOST_CHECK((heartbeat->holds_[0] == HeldKeys{ 0, 4095, 7 }));
  BOOST_REQUIRE(heartbeat->released_.size() == 1);
  BOOST_CHECK((heartbeat->released_[0] == ReleasedKeys{ 4096, 8191, "5c0e" }));
}

// Guards against a heartbeat of another writer that is taken for the local server's.
BOOST_AUTO_TEST_CASE(RejectsOtherWriters)
{
  for (
    const char* body :
    { "",
      "[]",
      "null",
      "{\"service\":",
      R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","coldRemainingMs":0,"slots":"12","state":"ready","seq":1})",
      R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","coldRemainingMs":0,"slots":12,"state":"asleep","seq":1})",
      R"({"service":"desk","address":"nowhere","zone":"z","version":"v1","coldRemainingMs":0,"slots":12,"state":"ready","seq":1})",
      R"({"service":7,"address":"10.0.0.9:8080","zone":"z","version":"v1","coldRemainingMs":0,"slots":12,"state":"ready","seq":1})",
      R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","coldRemainingMs":0,"slots":12,"state":"ready"})",
      R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","coldRemainingMs":0,"slots":12,"state":"ready","seq":-1})",
      R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","coldRemainingMs":0,"slots":1,"state":"ready","seq":1,
             "holds":[[5,4,1]],"freed":[]})",
      R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","coldRemainingMs":0,"slots":1,"state":"ready","seq":1,
             "holds":[[0,65536,1]],"freed":[]})",
      R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","coldRemainingMs":0,"slots":1,"state":"ready","seq":1,
             "holds":[],"freed":[[0,5,1]]})" }) {
    const auto heartbeat = DecodeHeartbeat("i-1", body);
    BOOST_TEST(!heartbeat.has_value(), body);
  }
}

// Guards against a reply that would make a server release everything.
BOOST_AUTO_TEST_CASE(AReplyWithoutGrantsHasNoHolds)
{
  BOOST_TEST(EncodeHeartbeatReply({}) == "{}");
  HeartbeatReply reply;
  reply.grants_ = { { 0, 31, 9, "" }, { 64, 95, 10, "h" } };
  reply.holdFor_ = std::chrono::milliseconds(4000);
  BOOST_TEST(EncodeHeartbeatReply(reply) ==
             R"({"holdDurationMs":4000,"holds":[[0,31,9,""],[64,95,10,"h"]]})");
}

// Guards against times that overflow the clock's range: a cold time of 10^300 ms was accepted.
BOOST_AUTO_TEST_CASE(RejectsTimesBeyondADay)
{
  const auto decode = [](const std::string& aColdTime) {
    return DecodeHeartbeat("i-1",
                           R"({"service":"desk","address":"10.0.0.1:80","slots":4,"state":"ready",)"
                           R"("zone":"z","version":"v1","seq":1,"coldRemainingMs":)" +
                             aColdTime + "}");
  };
  BOOST_TEST(decode("86400000").has_value());
  for (const char* time : { "86400001", "1e300" }) {
    const auto decoded = decode(time);
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST(decoded.error().front().place_ == "/coldRemainingMs");
  }
}

// Guards against names and numbers of another writer that end the process later, when they are
// published, or that are cut to fit.
BOOST_AUTO_TEST_CASE(RejectsOddNamesAndNumbers)
{
  const auto body = [](const std::string& aSlots) {
    return R"({"service":"desk","address":"10.0.0.1:80","state":"ready","seq":1,)"
           R"("zone":"z","version":"v1","coldRemainingMs":0,"slots":)" +
           aSlots + "}";
  };
  BOOST_TEST(DecodeHeartbeat("i-1", body("4294967295")).has_value());
  BOOST_TEST(!DecodeHeartbeat("i-1", body("4294967297")).has_value());
  BOOST_TEST(!DecodeHeartbeat("i-1", body("1e999")).has_value());
  for (const char* id : { "", "i\xff", "i 1", "i\n1", "\xc3\xa9" }) {
    BOOST_TEST(!DecodeHeartbeat(id, body("4")).has_value());
  }
  BOOST_TEST(!DecodeHeartbeat(std::string(201, 'i'), body("4")).has_value());
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  BOOST_TEST(!DecodeHeartbeat("i-1", deep).has_value());
}

// Guards against two holders of a key: a heartbeat of another writer, in which fields are missing
// or of another type, was taken for a new run of the server that holds nothing.
BOOST_AUTO_TEST_CASE(IsReadWholeOrNotAtAll)
{
  const auto whole = nlohmann::json::parse(
    R"({"service":"desk","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":12,
        "state":"ready","coldRemainingMs":250,"seq":4,"born":1789395282487,
        "holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e"]]})");
  const auto accepted = [](const nlohmann::json& aBody) {
    return DecodeHeartbeat("i-1", aBody.dump()).has_value();
  };
  BOOST_TEST(accepted(whole));
  for (const auto& [name, value] : whole.items()) {
    // Only the time of the start may be missing; another run then has another id.
    const bool optional = name == "born";
    nlohmann::json cut = whole;
    cut.erase(name);
    BOOST_TEST(accepted(cut) == optional, name << " is missing");
    const nlohmann::json others[] = { true, -1, nlohmann::json::object(), "", { 1 } };
    for (const nlohmann::json& other : others) {
      cut[name] = other;
      BOOST_TEST(!accepted(cut), name << " is " << other);
    }
  }
  const std::string text = whole.dump();
  for (std::size_t size = 0; size < text.size(); ++size) {
    BOOST_TEST(!DecodeHeartbeat("i-1", text.substr(0, size)).has_value(), size << " bytes");
  }
  nlohmann::json more = whole;
  more["added"] = "later";
  BOOST_TEST(accepted(more));
  // Servers of services without keys send no lists.
  nlohmann::json pooled = whole;
  pooled.erase("holds");
  pooled.erase("freed");
  const auto heartbeat = DecodeHeartbeat("i-1", pooled.dump());
  BOOST_REQUIRE(heartbeat.has_value());
  BOOST_TEST(!heartbeat->reportsHolds_);
}

BOOST_AUTO_TEST_SUITE_END()
