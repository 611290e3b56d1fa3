#include "fleet/MemberRecord.hpp"

#include <nlohmann/json.hpp>

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

BackendState
StateOf(std::string_view aText)
{
  if (aText == kReady) {
    return BackendState::Ready;
  }
  return aText == kDraining ? BackendState::Draining : BackendState::Down;
}

} // namespace

tl::expected<MemberRecord, std::string>
MemberRecord::Parse(std::string_view aText)
{
  try {
    const Json json = Json::parse(aText);
    MemberRecord record;
    Member& member = record.member_;
    member.ref_ = { json.at("id").get<std::string>(), json.at("incarnation").get<std::uint64_t>() };
    const auto address = Address::Parse(json.at("peers").get<std::string>());
    if (!address) {
      return tl::unexpected(std::string("peers is not an address"));
    }
    member.peersAddress_ = *address;
    member.dataCentre_ = json.at("dataCentre").get<std::string>();
    member.region_ = json.at("region").get<std::string>();
    member.service_ = json.at("service").get<std::string>();
    member.slots_ = json.at("slots").get<std::uint32_t>();
    member.state_ = StateOf(json.at("state").get<std::string>());
    member.leaving_ = json.at("leaving").get<bool>();
    record.serverIncarnation_ = json.at("life").get<std::string>();
    record.epoch_ = json.value("epoch", std::uint64_t{ 0 });
    record.carried_ = json.value("carried", false);
    return record;
  } catch (const Json::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

std::string
MemberRecord::ToText() const
{
  return Json{
    { "id", member_.ref_.id_ },
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
    { "carried", carried_ }
  }.dump();
}

bool
MemberRecord::Accepts() const
{
  return !serverIncarnation_.empty() && !member_.leaving_ && member_.state_ == BackendState::Ready;
}

} // namespace redwing
