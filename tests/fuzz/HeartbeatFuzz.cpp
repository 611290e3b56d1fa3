#include "FuzzTarget.hpp"
#include "config/Configuration.hpp"
#include "platform/HeartbeatCodec.hpp"

using namespace redwing;
using redwing::fuzz::Require;

int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto decoded = platform::DecodeHeartbeat("server", fuzz::View(aData, aSize));
  if (decoded) {
    Require(decoded->slots_ > 0, "a server has slots");
    for (const HeldKeys& range : decoded->holds_) {
      Require(range.first_ <= range.last_ && range.last_ < kNumericKeys,
              "a range of keys is valid");
    }
    for (const ReleasedKeys& range : decoded->released_) {
      Require(range.first_ <= range.last_ && range.last_ < kNumericKeys,
              "a range of keys is valid");
    }
  } else {
    Require(!decoded.error().empty(), "a rejected heartbeat has findings");
  }
  return 0;
}
