#include "control/MemberFact.hpp"

#include "core/WireArchive.hpp"

#include <cereal/types/map.hpp>

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

std::string
MemberFact::Encode() const
{
  return WriteWire(member_, gone_);
}

std::optional<MemberFact>
MemberFact::Decode(std::string_view aBytes)
{
  MemberFact fact;
  if (!ReadWire(aBytes, fact.member_, fact.gone_) || fact.member_.state_ > BackendState::Down) {
    return std::nullopt;
  }
  return fact;
}

std::string
EncodeRow(const ShardRow& aRow)
{
  return WriteWire(aRow);
}

std::optional<ShardRow>
DecodeRow(std::string_view aBytes)
{
  ShardRow row;
  if (!ReadWire(aBytes, row)) {
    return std::nullopt;
  }
  return row;
}

} // namespace redwing
