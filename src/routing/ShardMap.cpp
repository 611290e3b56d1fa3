#include "routing/ShardMap.hpp"

#include "core/Hash.hpp"

#include <charconv>

namespace redwing {

std::uint32_t
ShardOf(std::string_view aKey, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(HashBytes(aKey) % aShards);
}

std::optional<std::uint32_t>
ShardOf(std::string_view aKey, const Service& aService)
{
  if (aService.keyMapping_ == KeyMapping::Hashed) {
    return ShardOf(aKey, aService.shards_);
  }
  std::uint32_t key = 0;
  const char* end = aKey.data() + aKey.size();
  const auto parsed = std::from_chars(aKey.data(), end, key);
  if (parsed.ec != std::errc{} || parsed.ptr != end || key >= kNumericKeys) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(std::uint64_t{ key } * aService.shards_ / kNumericKeys);
}

} // namespace redwing
