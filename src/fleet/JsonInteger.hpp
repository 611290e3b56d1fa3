#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace redwing {

/// Returns aValue as a T; nothing if it is no whole number from 0 to the largest T.
///
/// Preconditions: none. Thread safety: callable from any thread.
template<typename T>
std::optional<T>
IntegerOf(const nlohmann::json& aValue)
{
  if (!aValue.is_number_unsigned() ||
      aValue.get<std::uint64_t>() > std::uint64_t{ std::numeric_limits<T>::max() }) {
    return std::nullopt;
  }
  return static_cast<T>(aValue.get<std::uint64_t>());
}

} // namespace redwing
