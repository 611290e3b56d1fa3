#include "control/MemberFact.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <sstream>

namespace redwing {

template<typename Archive>
void
serialize(Archive& aArchive, Member& aMember)
{
  aArchive(aMember.ref_,
           aMember.dataCentre_,
           aMember.region_,
           aMember.rack_,
           aMember.peersAddress_,
           aMember.service_,
           aMember.slots_,
           aMember.labels_,
           aMember.state_,
           aMember.leaving_);
}

namespace {

template<typename... Values>
std::string
Write(Values&... aValues)
{
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(aValues...);
  return std::move(stream).str();
}

template<typename... Values>
bool
Read(std::string_view aBytes, Values&... aValues)
{
  try {
    std::istringstream stream{ std::string(aBytes) };
    cereal::PortableBinaryInputArchive archive(stream);
    archive(aValues...);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

} // namespace

std::string
MemberFact::Encode() const
{
  MemberFact copy = *this;
  return Write(copy.member_, copy.gone_);
}

std::optional<MemberFact>
MemberFact::Decode(std::string_view aBytes)
{
  MemberFact fact;
  if (!Read(aBytes, fact.member_, fact.gone_)) {
    return std::nullopt;
  }
  return fact;
}

std::string
EncodeRow(const ShardRow& aRow)
{
  ShardRow copy = aRow;
  return Write(copy);
}

std::optional<ShardRow>
DecodeRow(std::string_view aBytes)
{
  ShardRow row;
  if (!Read(aBytes, row)) {
    return std::nullopt;
  }
  return row;
}

} // namespace redwing
