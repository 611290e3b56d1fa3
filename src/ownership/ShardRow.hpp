#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace redwing {

/// One run of an instance process; a higher incarnation of the same id replaces the lower one.
struct InstanceRef
{
  std::string id_;
  std::uint64_t incarnation_ = 0;

  bool operator==(const InstanceRef&) const = default;
  auto operator<=>(const InstanceRef& aOther) const
  {
    return std::tie(id_, incarnation_) <=> std::tie(aOther.id_, aOther.incarnation_);
  }
  bool Empty() const { return id_.empty(); }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id_, incarnation_);
  }
};

/// A shard of a keyed service.
struct ShardId
{
  std::string service_;
  std::uint32_t index_ = 0;

  bool operator==(const ShardId&) const = default;
  auto operator<=>(const ShardId& aOther) const
  {
    return std::tie(service_, index_) <=> std::tie(aOther.service_, aOther.index_);
  }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(service_, index_);
  }
};

/// Ownership of one shard: owner, token that rises with every change of owner, recorded successor.
struct ShardRow
{
  ShardId shard_;
  InstanceRef owner_;
  std::uint64_t token_ = 0;
  /// Empty: nobody may take the shard over without the store.
  InstanceRef successor_;

  bool operator==(const ShardRow&) const = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(shard_, owner_, token_, successor_);
  }
};

} // namespace redwing
