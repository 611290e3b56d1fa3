#pragma once

#include <cstdint>
#include <string>

namespace redwing {

/// One run of an instance process; a higher incarnation of the same id replaces the lower one.
struct InstanceRef
{
  std::string id_;
  std::uint64_t incarnation_ = 0;

  bool operator==(const InstanceRef&) const = default;
  auto operator<=>(const InstanceRef&) const = default;
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
  auto operator<=>(const ShardId&) const = default; // NOLINT(modernize-use-nullptr)

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
