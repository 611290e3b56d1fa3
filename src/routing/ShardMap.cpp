#include "routing/ShardMap.hpp"

#include "core/Hash.hpp"

namespace redwing {

std::uint32_t
ShardOf(std::string_view aKey, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(HashBytes(aKey) % aShards);
}

} // namespace redwing
