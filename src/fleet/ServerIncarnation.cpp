#include "fleet/ServerIncarnation.hpp"

#include <charconv>
#include <optional>

namespace redwing {

namespace {

constexpr char kSeparator = '@';

std::optional<std::uint64_t>
StartOf(std::string_view aIncarnation)
{
  const std::size_t separator = aIncarnation.rfind(kSeparator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = aIncarnation.substr(separator + 1);
  std::uint64_t start = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), start);
  const bool read = error == std::errc() && end == text.data() + text.size();
  return read ? std::optional(start) : std::nullopt;
}

} // namespace

std::string
MakeServerIncarnation(std::string_view aServerId, std::uint64_t aStartedAt)
{
  return std::string(aServerId) + kSeparator + std::to_string(aStartedAt);
}

bool
IsLaterIncarnation(std::string_view aOne, std::string_view aOther)
{
  const auto one = StartOf(aOne);
  const auto other = StartOf(aOther);
  return one && other && *one > *other;
}

} // namespace redwing
