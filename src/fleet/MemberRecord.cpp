#include "fleet/MemberRecord.hpp"

#include "fleet/JsonInteger.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>

namespace redwing {

namespace {

using Json = nlohmann::json;

constexpr const char* kReady = "ready";
constexpr const char* kDraining = "draining";
constexpr const char* kDown = "down";

const char*
ToText(BackendState aState)
{
  switch (aState) {
    case BackendState::Ready:
    case BackendState::Cold:
      return kReady;
    case BackendState::Draining:
      return kDraining;
    case BackendState::Down:
      break;
  }
  return kDown;
}

std::optional<BackendState>
StateOf(std::string_view aText)
{
  if (aText == kReady) {
    return BackendState::Ready;
  }
  if (aText == kDraining) {
    return BackendState::Draining;
  }
  return aText == kDown ? std::optional(BackendState::Down) : std::nullopt;
}

/// Returns an error that is short enough for the log, whatever text it quotes.
tl::unexpected<std::string>
Error(std::string_view aMessage)
{
  constexpr std::size_t kLongestMessage = 200;
  return tl::unexpected(std::string(aMessage.substr(0, kLongestMessage)));
}

} // namespace

tl::expected<MemberRecord, std::string>
MemberRecord::Parse(std::string_view aText)
{
  try {
    const Json json = Json::parse(aText);
    MemberRecord record;
    Member& member = record.member_;
    member.ref_.id_ = json.at("id").get<std::string>();
    const auto incarnation = IntegerOf<std::uint64_t>(json.at("incarnation"));
    const auto slots = IntegerOf<std::uint32_t>(json.at("slots"));
    const auto epoch = IntegerOf<std::uint64_t>(json.value("epoch", Json(0U)));
    if (!incarnation || !slots || !epoch) {
      return Error("incarnation, slots or epoch is not a number in its range");
    }
    const auto address = Address::Parse(json.at("peers").get<std::string>());
    const auto state = StateOf(json.at("state").get<std::string>());
    if (!address || !state) {
      return Error("peers is not an address, or state is unknown");
    }
    member.ref_.incarnation_ = *incarnation;
    member.peersAddress_ = *address;
    member.dataCentre_ = json.at("dataCentre").get<std::string>();
    member.region_ = json.at("region").get<std::string>();
    member.service_ = json.at("service").get<std::string>();
    member.version_ = json.value("version", std::string());
    member.slots_ = *slots;
    member.state_ = *state;
    member.leaving_ = json.at("leaving").get<bool>();
    record.serverIncarnation_ = json.at("life").get<std::string>();
    record.epoch_ = *epoch;
    record.carried_ = json.value("carried", false);
    const auto hold = IntegerOf<std::uint32_t>(json.value("holdMs", Json(0U)));
    record.longestHold_ = std::chrono::milliseconds(hold.value_or(0U));
    record.processors_ = json.value("processors", 0.0);
    if (!std::isfinite(record.processors_) || record.processors_ < 0) {
      return Error("processors is not a number of at least 0");
    }
    return record;
  } catch (const Json::exception& error) {
    return Error(error.what());
  }
}

std::string
MemberRecord::ToText() const
{
  Json json{ { "id", member_.ref_.id_ },
             { "incarnation", member_.ref_.incarnation_ },
             { "peers", member_.peersAddress_.ToString() },
             { "dataCentre", member_.dataCentre_ },
             { "region", member_.region_ },
             { "service", member_.service_ },
             { "slots", member_.slots_ },
             { "state", redwing::ToText(member_.state_) },
             { "leaving", member_.leaving_ },
             { "life", serverIncarnation_ },
             { "epoch", epoch_ },
             { "carried", carried_ },
             { "holdMs", longestHold_.count() },
             { "processors", processors_ } };
  if (!member_.version_.empty()) {
    json["version"] = member_.version_;
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool
MemberRecord::Accepts() const
{
  return !serverIncarnation_.empty() && !member_.leaving_ && member_.state_ == BackendState::Ready;
}

} // namespace redwing
